package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"

	"github.com/go-faster/errors"
)

// Fingerprint identifies a request by its content, so that a request that its
// caller sends again has the same fingerprint at every host.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the result of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return Fingerprint{}, errors.Wrap(err, "parse fingerprint")
	}
	if len(raw) != len(Fingerprint{}) {
		return Fingerprint{}, errors.Errorf("fingerprint %q has %d bytes, not %d", text, len(raw), len(Fingerprint{}))
	}
	return Fingerprint(raw), nil
}

// FingerprintOf returns the truncated HMAC-SHA-256 of the fields and the body. The
// key may be empty.
func FingerprintOf(key, body []byte, fields ...string) Fingerprint {
	h := hmac.New(sha256.New, key)
	for _, field := range fields {
		_, _ = h.Write([]byte(field)) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}
