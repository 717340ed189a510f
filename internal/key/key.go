// Package key is the aggregate of a caller's key. Only the hash of the secret
// is kept; the secret is shown once, when the key is made.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"
	"time"
)

const (
	secretPrefix = "msk-"
	secretBytes  = 32
)

// ID is the public name of a key: the hexadecimal SHA-256 of its secret.
type ID string

// Spec is a key as it is stored.
type Spec struct {
	Team      string     `json:"team"`
	Label     string     `json:"label,omitempty"`
	Created   time.Time  `json:"created"`
	Withdrawn *time.Time `json:"withdrawn,omitempty"`
	CutActive bool       `json:"cut_active,omitempty"` // end requests in progress on withdrawal
}

// Active reports whether the key may be used.
func (s Spec) Active() bool { return s.Withdrawn == nil }

// Withdraw returns the key as withdrawn. A second withdrawal keeps the time of
// the first.
func (s Spec) Withdraw(now time.Time, cutActive bool) Spec {
	if s.Withdrawn == nil {
		s.Withdrawn = &now
	}
	s.CutActive = s.CutActive || cutActive
	return s
}

// NewSecret returns a secret that cannot be guessed.
func NewSecret() string {
	var b [secretBytes]byte
	_, _ = rand.Read(b[:]) // never fails, by its contract
	return secretPrefix + base64.RawURLEncoding.EncodeToString(b[:])
}

// IDOf returns the id of a secret.
func IDOf(secret string) ID {
	sum := sha256.Sum256([]byte(secret))
	return ID(hex.EncodeToString(sum[:]))
}

// LooksLikeSecret reports whether the text has the form of a secret.
func LooksLikeSecret(text string) bool { return strings.HasPrefix(text, secretPrefix) }
