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
	// MaxHandleBytes bounds the text of a handle. It is sufficient for four names of the maximum length.
	MaxHandleBytes = 1024
	// maxNameBytes bounds the length of each name in a handle.
	maxNameBytes = 128
	// minSecretBytes is the minimum length of a secret, which is the output size of SHA-256.
	minSecretBytes = 32
	// macDomain separates the MACs of handles from those of other tokens with the same secret, such as session tokens.
	macDomain = "waxwingspindle transaction handle 1\x00"
)

// Owner identifies the workspace and the key that own a transaction.
type Owner struct {
	Workspace model.Workspace
	Key       model.KeyID
}

// Handle identifies a transaction. Every host uses it to forward a request to the home that holds the transaction. It is
// encoded as a MessagePack array, so the order of the fields is part of the format.
type Handle struct {
	Home        model.HostID
	Incarnation model.Incarnation // incarnation of the home
	LocalID     ID                // ID of the transaction at the home
	Service     model.Service
	Workspace   model.Workspace
	Key         model.KeyID
}

// Owner returns the owner of the transaction.
func (h Handle) Owner() Owner { return Owner{Workspace: h.Workspace, Key: h.Key} }

// CheckOwner returns ErrNotOwner unless the transaction belongs to the service and the owner.
func (h Handle) CheckOwner(service model.Service, owner Owner) error {
	if h.Service != service || h.Owner() != owner {
		return ErrNotOwner
	}
	return nil
}

// CheckHome returns ErrLost unless the transaction was begun by the given incarnation of the given home.
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

// Codec encodes, authenticates and decodes handles. It is safe for concurrent use.
type Codec struct{ secrets [][]byte }

// NewCodec returns a codec that signs with the first secret and accepts the signatures of all secrets, so that the secret
// can be rotated while transactions are open. It returns an error if there is no secret or if one is shorter than 32
// bytes.
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

// Encode returns the signed, URL-safe text of a handle. It returns an error if a name is empty or longer than 128 bytes,
// or if the local ID is zero.
func (c *Codec) Encode(h Handle) (string, error) {
	if !h.isValid() {
		return "", trace.BadParameter("a transaction handle has a local id and names of 1 to %d bytes", maxNameBytes)
	}
	var encoded bytes.Buffer
	encoder := msgpack.NewEncoder(&encoded)
	// The array encoding omits field names, which keeps handles short.
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(h); err != nil {
		return "", trace.Wrap(err, "encoding a transaction handle")
	}
	body := encoded.Bytes()
	return base64.RawURLEncoding.EncodeToString(append(sign(c.secrets[0], body), body...)), nil
}

// Decode verifies and decodes the text of a handle. It returns ErrMalformed if the text is not a handle, and
// ErrInvalidSignature if it was not signed with one of the secrets. The content is not decoded before its signature is
// verified.
func (c *Codec) Decode(text string) (Handle, error) {
	if len(text) > MaxHandleBytes {
		return Handle{}, ErrMalformed
	}
	decoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(decoded) <= sha256.Size {
		return Handle{}, ErrMalformed
	}
	mac, body := decoded[:sha256.Size], decoded[sha256.Size:]
	if !c.verify(mac, body) {
		return Handle{}, ErrInvalidSignature
	}
	var h Handle
	if err := msgpack.Unmarshal(body, &h); err != nil || !h.isValid() {
		return Handle{}, ErrMalformed
	}
	return h, nil
}

func (c *Codec) verify(mac, body []byte) bool {
	for _, secret := range c.secrets {
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
