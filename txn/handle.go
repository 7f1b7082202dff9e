package txn

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// MaxHandleBytes bounds the text of a handle. It has room for four names of the greatest length.
	MaxHandleBytes = 1024
	// maxNameBytes bounds each name in a handle.
	maxNameBytes = 128
	// minSecretBytes is the least length of the secret, the strength of SHA-256 against guessing.
	minSecretBytes = 32
	// domain separates the codes of handles from those of other tokens under the same secret, such as session tokens.
	macDomain = "waxwingspindle transaction handle 1\x00"
)

// Owner is the workspace and the key that a transaction belongs to.
type Owner struct {
	Workspace model.Workspace
	Key       model.KeyID
}

// Handle names a transaction. Any host forwards a request by it to the home that holds the transaction.
type Handle struct {
	Home        model.HostID
	Incarnation model.Incarnation // of the home
	LocalID     ID                // number of the transaction at the home
	Service     model.Service
	Workspace   model.Workspace
	Key         model.KeyID
}

// Owner returns the workspace and the key that the handle was made for.
func (h Handle) Owner() Owner { return Owner{Workspace: h.Workspace, Key: h.Key} }

// Check reports whether the handle may be used for the service with a key of the owner. It fails with ErrForeign.
func (h Handle) CheckOwner(service model.Service, owner Owner) error {
	if h.Service != service || h.Owner() != owner {
		return ErrNotOwner
	}
	return nil
}

// CheckHome reports whether the transaction can still be at this start of this host. It fails with ErrLost.
func (h Handle) CheckHome(home model.HostID, incarnation model.Incarnation) error {
	if h.Home != home || h.Incarnation != incarnation {
		return ErrLost
	}
	return nil
}

func (h Handle) isValid() bool {
	for _, field := range []string{string(h.Home), string(h.Service), string(h.Workspace), string(h.Key)} {
		if field == "" || len(field) > maxNameBytes {
			return false
		}
	}
	return h.LocalID != 0
}

// Sealer makes and reads the texts of handles. It may be shared between goroutines.
type Codec struct{ secrets [][]byte }

// NewSealer returns a sealer that seals with the first secret and opens with any, so that the secret can be changed
// while transactions are open. It fails if there is no secret or if one is shorter than 32 bytes.
func NewCodec(secrets ...[]byte) (*Codec, error) {
	if len(secrets) == 0 {
		return nil, trace.BadParameter("the secret of transaction handles is missing")
	}
	for _, secret := range secrets {
		if len(secret) < minSecretBytes {
			return nil, trace.BadParameter("the secret of transaction handles is shorter than %d bytes", minSecretBytes)
		}
	}
	return &Codec{secrets: secrets}, nil
}

// Seal returns the text of a handle, which is safe in URLs. It fails if a name is empty or longer than 128 bytes, or if
// there is no local id.
func (s *Codec) Encode(h Handle) (string, error) {
	if !h.isValid() {
		return "", trace.BadParameter("a transaction handle has a local id and names of 1 to %d bytes", maxNameBytes)
	}
	var encoded bytes.Buffer
	encoder := msgpack.NewEncoder(&encoded)
	// An array leaves out the names of the fields, which keeps handles short.
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(h); err != nil {
		return "", trace.Wrap(err, "coding a transaction handle")
	}
	body := encoded.Bytes()
	return base64.RawURLEncoding.EncodeToString(append(sign(s.secrets[0], body), body...)), nil
}

// Open reads the text of a handle. It fails with ErrMalformed if the text cannot be a handle, and with ErrForged if it
// was not sealed with a known secret. Nothing of the content is decoded before the code is verified.
func (s *Codec) Decode(text string) (Handle, error) {
	if len(text) > MaxHandleBytes {
		return Handle{}, ErrMalformed
	}
	decoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(decoded) <= sha256.Size {
		return Handle{}, ErrMalformed
	}
	mac, body := decoded[:sha256.Size], decoded[sha256.Size:]
	if !s.verify(mac, body) {
		return Handle{}, ErrInvalidSignature
	}
	var h Handle
	if err := msgpack.Unmarshal(body, &h); err != nil || !h.isValid() {
		return Handle{}, ErrMalformed
	}
	return h, nil
}

func (s *Codec) verify(mac, body []byte) bool {
	for _, secret := range s.secrets {
		if hmac.Equal(mac, sign(secret, body)) {
			return true
		}
	}
	return false
}

func sign(secret, body []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(macDomain))
	mac.Write(body)
	return mac.Sum(nil)
}
