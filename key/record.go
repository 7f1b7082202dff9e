package key

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Hash is the SHA-256 of a secret. Its text is hexadecimal.
type Hash [sha256.Size]byte

// MarshalText returns the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

// UnmarshalText reads a hash in hexadecimal.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return trace.BadParameter("a key hash has %d hexadecimal digits, not %d", hex.EncodedLen(len(h)), len(text))
	}
	_, err := hex.Decode(h[:], text)
	return trace.Wrap(err, "reading a key hash")
}

// Record is what the configuration document holds for a key.
type Record struct {
	ID        model.KeyID     `json:"id"`
	Workspace model.Workspace `json:"workspace"`
	Hash      Hash            `json:"hash"`
	Withdrawn bool            `json:"withdrawn,omitempty"`
}

// Withdraw returns the record in withdrawn state. The record is kept, so that its id is never given out again.
func (r Record) Withdraw() Record {
	r.Withdrawn = true
	return r
}

// Set is an immutable set of records. It may be shared between goroutines.
type Set struct {
	records map[model.KeyID]Record
	// compare is subtle.ConstantTimeCompare; tests count its calls.
	compare func(a, b []byte) int
}

// NewSet returns the set of the records. It fails if two records have the same id, or if an id is not allowed.
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

// Check returns the record of the key. It fails with ErrInvalid for an unknown key id and for a wrong secret, and with
// ErrWithdrawn for the right secret of a withdrawn key. All three take the same steps: one look-up, one hash and one
// comparison in constant time.
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

// Recheck reports whether a key that Check accepted earlier is still in force. The home calls it just before a
// statement is sent, when the secret is no longer at hand. It fails with ErrInvalid if the key is not in the set or
// belongs to another workspace, and with ErrWithdrawn.
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
