package session

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// MaxServiceNameBytes is the maximum length of a service name in a token.
	MaxServiceNameBytes = 64
	// MaxEncodedBytes is the maximum length of an encoded token. It is enough for MaxServices marks with names of
	// MaxServiceNameBytes, and less than the 4 KiB that common HTTP servers allow for a header line.
	MaxEncodedBytes = 2560
	// MinSecretBytes is the minimum length of a secret, which is the output length of SHA-256.
	MinSecretBytes = 32
)

// versionPrefix is the prefix of every token of this format. Other formats must use a different prefix.
const versionPrefix = "v1."

// macLabel provides domain separation from other uses of the same secret.
const macLabel = "waxwingspindle session token"

var encoding = base64.RawURLEncoding.Strict()

// ErrorKind is the reason why a token was rejected.
type ErrorKind uint8

const (
	// ErrorTooLong means that the text exceeds MaxEncodedBytes.
	ErrorTooLong ErrorKind = iota + 1
	// ErrorUnknownVersion means that the text does not start with a known version prefix.
	ErrorUnknownVersion
	// ErrorMalformed means that the text is not valid in the format of its version.
	ErrorMalformed
	// ErrorSignature means that the signature matches none of the secrets. It is also the error for a token of another
	// workspace.
	ErrorSignature
)

// String returns a short description of the error.
func (k ErrorKind) String() string {
	switch k {
	case ErrorTooLong:
		return "too long"
	case ErrorUnknownVersion:
		return "unknown version"
	case ErrorMalformed:
		return "malformed"
	case ErrorSignature:
		return "wrong signature"
	}
	return "invalid"
}

// TokenError is returned for a token that was rejected. Its text does not contain the token.
type TokenError struct {
	Kind ErrorKind
}

// Error implements error.
func (e *TokenError) Error() string {
	return "session token: " + e.Kind.String()
}

// Codec encodes, signs, verifies and decodes tokens. It is immutable and safe for concurrent use.
type Codec struct {
	current  []byte
	previous []byte
}

// NewCodec returns a codec that signs with current and accepts tokens signed with current or previous. An empty previous
// secret is not used. To rotate the secret, configure the old one as previous until no caller holds a token signed with it.
func NewCodec(current, previous []byte) (*Codec, error) {
	if len(current) < MinSecretBytes {
		return nil, fmt.Errorf("session secret has %d bytes, at least %d are needed", len(current), MinSecretBytes)
	}
	if len(previous) > 0 && len(previous) < MinSecretBytes {
		return nil, fmt.Errorf("previous session secret has %d bytes, at least %d are needed", len(previous),
			MinSecretBytes)
	}
	return &Codec{current: append([]byte(nil), current...), previous: append([]byte(nil), previous...)}, nil
}

// Encode returns the text form of t, which can be used in URLs and headers. It returns an error if the name of a service is
// empty or longer than MaxServiceNameBytes.
func (c *Codec) Encode(t Token) (string, error) {
	body, err := encodeBody(t)
	if err != nil {
		return "", err
	}
	return versionPrefix + encoding.EncodeToString(append(body, sign(c.current, t.workspace, body)...)), nil
}

// Decode verifies and decodes a token. An empty text yields a token without marks. For any other text that Encode did not
// produce for this workspace with one of the secrets, Decode returns a *TokenError.
func (c *Codec) Decode(text string, workspace model.Workspace) (Token, error) {
	if text == "" {
		return NewToken(workspace), nil
	}
	if len(text) > MaxEncodedBytes {
		return Token{}, &TokenError{ErrorTooLong}
	}
	payload, ok := strings.CutPrefix(text, versionPrefix)
	if !ok {
		return Token{}, &TokenError{ErrorUnknownVersion}
	}
	raw, err := encoding.DecodeString(payload)
	if err != nil || len(raw) <= sha256.Size {
		return Token{}, &TokenError{ErrorMalformed}
	}
	body, mac := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	if !c.verify(workspace, body, mac) {
		return Token{}, &TokenError{ErrorSignature}
	}
	return decodeBody(workspace, body)
}

// verify reports whether mac authenticates body with one of the secrets.
func (c *Codec) verify(workspace model.Workspace, body, mac []byte) bool {
	if hmac.Equal(mac, sign(c.current, workspace, body)) {
		return true
	}
	return len(c.previous) > 0 && hmac.Equal(mac, sign(c.previous, workspace, body))
}

// encodeBody encodes the flag for dropped marks and the list of marks, each as service, term and offset.
func encodeBody(t Token) ([]byte, error) {
	var body bytes.Buffer
	encoder := msgpack.NewEncoder(&body)
	encoder.UseCompactInts(true)
	err := errors.Join(encoder.EncodeBool(t.marksDropped), encoder.EncodeArrayLen(len(t.marks)))
	for _, mark := range t.marks {
		if len(mark.Service) == 0 || len(mark.Service) > MaxServiceNameBytes {
			return nil, fmt.Errorf("service name of %d bytes does not fit into a session token", len(mark.Service))
		}
		err = errors.Join(err,
			encoder.EncodeString(string(mark.Service)),
			encoder.EncodeUint(mark.Position.Term),
			encoder.EncodeUint(mark.Position.Offset))
	}
	return body.Bytes(), err
}

// decodeBody decodes an authenticated body. It decodes the list element by element, because decoding into a slice would
// allocate memory for the number of elements in the header, before the elements are read.
func decodeBody(workspace model.Workspace, body []byte) (Token, error) {
	malformed := &TokenError{ErrorMalformed}
	decoder := msgpack.NewDecoder(bytes.NewReader(body))
	marksDropped, err := decoder.DecodeBool()
	if err != nil {
		return Token{}, malformed
	}
	count, err := decoder.DecodeArrayLen()
	if err != nil || count < 0 || count > MaxServices {
		return Token{}, malformed
	}
	t := Token{workspace: workspace, marksDropped: marksDropped}
	for range count {
		mark, err := decodeMark(decoder)
		if err != nil {
			return Token{}, malformed
		}
		t.marks = append(t.marks, mark)
	}
	return t, nil
}

func decodeMark(decoder *msgpack.Decoder) (HighWaterMark, error) {
	service, err := decoder.DecodeString()
	if err != nil {
		return HighWaterMark{}, err
	}
	term, err := decoder.DecodeUint64()
	if err != nil {
		return HighWaterMark{}, err
	}
	offset, err := decoder.DecodeUint64()
	return HighWaterMark{Service: model.Service(service), Position: model.Position{Term: term, Offset: offset}}, err
}

// sign returns the MAC of a token's body for the workspace.
func sign(secret []byte, workspace model.Workspace, body []byte) []byte {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(workspace)))
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(macLabel))
	mac.Write([]byte(versionPrefix))
	mac.Write(length[:])
	mac.Write([]byte(workspace))
	mac.Write(body)
	return mac.Sum(nil)
}
