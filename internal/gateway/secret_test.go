package gateway

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/key"
)

func TestFileCarriesSecret(t *testing.T) {
	c := qt.New(t)
	secret := key.NewSecret()
	escaped := `\u006d` + secret[1:]
	clean := `{"custom_id":"1","body":{"prompt":"\u00e9t\u00e9"}}` + "\n"
	long := strings.Repeat("x", maxScanLineBytes+10) + "\n"
	text, err := io.ReadAll(newSecretScanner(strings.NewReader(clean+long+clean), secret))
	c.Assert(err, qt.IsNil)
	c.Assert(string(text) == clean+long+clean, qt.IsTrue)
	for _, line := range []string{secret, escaped, key.NewSecret()} {
		_, err := io.ReadAll(newSecretScanner(strings.NewReader(clean+`{"body":{"user":"`+line+`"}}`), secret))
		c.Assert(apierr.IsKind(err, apierr.Invalid), qt.IsTrue, qt.Commentf("%s", line))
	}
}
