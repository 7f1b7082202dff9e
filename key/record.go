package key

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Hash is the SHA-256 hash of a secret. Its text form is hexadecimal.
type Hash [sha256.Size]byte

// MarshalText encodes the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

// UnmarshalText decodes a hexadecimal hash.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return trace.BadParameter("a key hash has %d hexadecimal digits, not %d", hex.EncodedLen(len(h)), len(text))
	}
	_, err := hex.Decode(h[:], text)
	return trace.Wrap(err, "reading a key hash")
}

// Record is the entry of a key in the configuration document.
type Record struct {
	ID        model.KeyID     `json:"id"`
	Workspace model.Workspace `json:"workspace"`
	Hash      Hash            `json:"hash"`
	Withdrawn bool            `json:"withdrawn,omitempty"`
}

// Withdraw returns a withdrawn copy of the record. Records of withdrawn keys are kept, so that their IDs are not reused.
func (r Record) Withdraw() Record {
	r.Withdrawn = true
	return r
}

// Set is an immutable set of records. It is safe for concurrent use.
type Set struct {
	records map[model.KeyID]Record
	// compare is subtle.ConstantTimeCompare. Tests replace it to count calls.
	compare func(a, b []byte) int
}

// NewSet returns a set of the records. It returns an error if an ID is not valid or not unique.
func NewSet(records []Record) (*Set, error) {
	set := &Set{records: make(map[model.KeyID]Record, len(records)), compare: subtle.ConstantTimeCompare}
	for _, record := range records {
		if !isValidID(string(record.ID)) {
			return nil, trace.Wrap(ErrInvalidID)
		}
		if _, exists := set.records[record.ID]; exists {
			return nil, trace.AlreadyExists("key id %q is used twice", record.ID)
		}
		set.records[record.ID] = record
	}
	return set, nil
}

// Verify returns the record of the key. It returns ErrInvalid for an unknown key ID or a wrong secret, and ErrWithdrawn
// for a withdrawn key with the right secret. All cases perform the same steps, one look-up, one hash and one
// constant-time comparison, so that the response time does not reveal which key IDs exist.
func (s *Set) Verify(k Key) (Record, error) {
	record, found := s.records[k.id]
	presentedHash := k.hash()
	equal := s.compare(presentedHash[:], record.Hash[:]) == 1
	if !found || !equal || k.IsZero() {
		return Record{}, ErrInvalid
	}
	if record.Withdrawn {
		return Record{}, ErrWithdrawn
	}
	return record, nil
}

// Revalidate checks that a key which Verify accepted earlier is still valid. The home calls it just before it sends a
// statement, when the secret is no longer available. It returns ErrInvalid if the key is not in the set or belongs to
// another workspace, and ErrWithdrawn if the key was withdrawn.
func (s *Set) Revalidate(id model.KeyID, workspace model.Workspace) error {
	record, found := s.records[id]
	if !found || record.Workspace != workspace {
		return ErrInvalid
	}
	if record.Withdrawn {
		return ErrWithdrawn
	}
	return nil
}
