// Package key creates, parses and verifies the keys of callers.
//
// A key has the form wsk_<key id>_<secret>. Only the SHA-256 hash of the secret is stored, in a Record. Formatting or
// encoding a Key redacts its secret; only Reveal returns the full text.
package key

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	keyPrefix    = "wsk_"
	keySeparator = "_"
	secretBytes  = 32
	// maxIDBytes bounds a key ID, so that it fits into an HTTP header and into a transaction handle.
	maxIDBytes = 64
)

// secretEncoding is strict, so that each secret has exactly one encoding.
var secretEncoding = base64.RawURLEncoding.Strict()

var encodedSecretLen = secretEncoding.EncodedLen(secretBytes)

// Error is an error in a key or in the header that contains it. Its text contains no part of the header.
type Error string

// Error implements error.
func (e Error) Error() string { return string(e) }

// Errors of this package. Set.Verify returns ErrInvalid both for an unknown key ID and for a wrong secret, so that callers
// cannot find out which key IDs exist.
const (
	ErrMissing           Error = "the Authorization header is missing"
	ErrMultipleHeaders   Error = "the Authorization header is given more than once"
	ErrUnsupportedScheme Error = "the Authorization header does not use the Bearer scheme"
	ErrMalformed         Error = "the key does not have the form wsk_<key id>_<secret>"
	ErrInvalidID         Error = "a key id has 1 to 64 letters, digits, hyphens, dots or underscores"
	ErrInvalid           Error = "the key is not valid"
	ErrWithdrawn         Error = "the key is withdrawn"
)

// Reason returns the reason that is reported to the caller.
func (e Error) Reason() model.Reason {
	if e == ErrMissing {
		return model.ReasonKeyMissing
	}
	return model.ReasonKeyInvalid
}

// Result returns the result that is reported to the caller.
func (e Error) Result() model.Result {
	return model.NotRun(e.Reason(), string(e))
}

// Key is a caller's key. The zero value is not a valid key.
type Key struct {
	id model.KeyID
	// secret is a function, because fmt prints it only as an address. If a struct has an unexported field of type Key, fmt
	// does not call the methods of Key, and it prints arrays and, for some verbs, the values that pointers refer to.
	secret func() [secretBytes]byte
}

func newSecretKey(id model.KeyID, secret [secretBytes]byte) Key {
	return Key{id: id, secret: func() [secretBytes]byte { return secret }}
}

// New creates a key with a secret that is read from random. It returns ErrInvalidID if the ID is not valid, or the error
// of the reader.
func New(id model.KeyID, random io.Reader) (Key, error) {
	if !isValidID(string(id)) {
		return Key{}, ErrInvalidID
	}
	var secret [secretBytes]byte
	if _, err := io.ReadFull(random, secret[:]); err != nil {
		return Key{}, trace.Wrap(err, "reading random bytes for a key")
	}
	return newSecretKey(id, secret), nil
}

// Parse parses the text of a key. It returns ErrMalformed if the text is not a key.
func Parse(text string) (Key, error) {
	body, ok := strings.CutPrefix(text, keyPrefix)
	if !ok {
		return Key{}, ErrMalformed
	}
	// Both the ID and the secret may contain the separator, so its position follows from the fixed length of the secret.
	separatorIndex := len(body) - encodedSecretLen - len(keySeparator)
	if separatorIndex < 0 || body[separatorIndex:separatorIndex+len(keySeparator)] != keySeparator ||
		!isValidID(body[:separatorIndex]) {
		return Key{}, ErrMalformed
	}
	// DecodeString ignores line breaks, which would allow several encodings of a secret.
	encoded := body[separatorIndex+len(keySeparator):]
	if strings.ContainsAny(encoded, "\r\n") {
		return Key{}, ErrMalformed
	}
	decoded, err := secretEncoding.DecodeString(encoded)
	if err != nil || len(decoded) != secretBytes {
		return Key{}, ErrMalformed
	}
	return newSecretKey(model.KeyID(body[:separatorIndex]), [secretBytes]byte(decoded)), nil
}

// FromHeader parses the key in the values of the Authorization header. It returns ErrMissing, ErrMultipleHeaders,
// ErrUnsupportedScheme or ErrMalformed on failure.
func FromHeader(values []string) (Key, error) {
	if len(values) == 0 || len(values) == 1 && values[0] == "" {
		return Key{}, ErrMissing
	}
	if len(values) > 1 {
		return Key{}, ErrMultipleHeaders
	}
	scheme, credentials, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return Key{}, ErrUnsupportedScheme
	}
	return Parse(strings.Trim(credentials, " "))
}

// ID returns the public ID of the key.
func (k Key) ID() model.KeyID { return k.id }

// IsZero reports whether k is the zero value.
func (k Key) IsZero() bool { return k.secret == nil }

// Reveal returns the text of the key including its secret. Use it only for the response that returns a new key to an
// operator.
func (k Key) Reveal() string {
	if k.IsZero() {
		return ""
	}
	secret := k.secret()
	return keyPrefix + string(k.id) + keySeparator + secretEncoding.EncodeToString(secret[:])
}

// Record returns the record that stores the key as one of the workspace's keys.
func (k Key) Record(workspace model.Workspace) Record {
	return Record{ID: k.id, Workspace: workspace, Hash: k.hash()}
}

func (k Key) hash() Hash {
	if k.IsZero() {
		return Hash{}
	}
	secret := k.secret()
	return sha256.Sum256(secret[:])
}

// String returns the key without its secret.
func (k Key) String() string { return keyPrefix + string(k.id) + keySeparator + "redacted" }

// GoString returns the key without its secret.
func (k Key) GoString() string { return k.String() }

// Format implements fmt.Formatter. It prints the key without its secret for every verb.
func (k Key) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, k.String()) }

// MarshalText returns the key without its secret.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// MarshalJSON returns the key without its secret.
func (k Key) MarshalJSON() ([]byte, error) {
	text, err := json.Marshal(k.String())
	return text, trace.Wrap(err)
}

func isValidID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !strings.ContainsRune("-._", rune(c)) {
			return false
		}
	}
	return true
}
