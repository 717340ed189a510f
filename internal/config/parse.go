package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"github.com/masticscale/masticscale/internal/apierr"
)

// ReadFile reads one file of JSON with comments.
func ReadFile(path string) (map[string]any, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	return Parse(path, text)
}

// Parse reads JSON with comments. The name stands in errors.
func Parse(name string, text []byte) (map[string]any, error) {
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, apierr.Newf(apierr.Invalid, "mend the syntax", "%s: %v", name, err)
	}
	var doc map[string]any
	if err := json.Unmarshal(standard, &doc); err != nil {
		return nil, apierr.Newf(apierr.Invalid, "write one JSON object", "%s: %v", name, err)
	}
	return doc, nil
}

// Merge lays an overlay over a base: objects merge key by key, null removes a
// key, and every other value replaces the base's. Neither argument is changed.
func Merge(base, overlay map[string]any) map[string]any {
	out := make(map[string]any, len(base)+len(overlay))
	for k, v := range base {
		out[k] = v
	}
	for k, v := range overlay {
		if v == nil {
			delete(out, k)
			continue
		}
		above, isObject := v.(map[string]any)
		if !isObject {
			out[k] = v
			continue
		}
		below, _ := out[k].(map[string]any)
		out[k] = Merge(below, above)
	}
	return out
}

// Render returns the document of one site. A site without an overlay gets the
// base.
func (b Bundle) Render(site string) (Document, error) {
	merged := Merge(b.Base, b.Overlays[site])
	doc, err := decode(merged)
	if err != nil {
		return Document{}, err
	}
	return doc, doc.Fleet.Validate()
}

func decode(merged map[string]any) (Document, error) {
	text, err := json.Marshal(merged)
	if err != nil {
		return Document{}, errors.Wrap(err, "encode merged configuration")
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	var doc Document
	if err := dec.Decode(&doc); err != nil {
		return Document{}, apierr.Newf(apierr.Invalid, "see docs/operations/configure.md for the fields", "configuration: %v", err)
	}
	return doc, nil
}

// Check renders the base and every overlay.
func (b Bundle) Check() error {
	if _, err := b.Render(""); err != nil {
		return err
	}
	for site := range b.Overlays {
		if _, err := b.Render(site); err != nil {
			return errors.Wrapf(err, "site %q", site)
		}
	}
	return nil
}

// Validate checks that every reference resolves and every limit is sane.
func (f Fleet) Validate() error {
	for name, t := range f.Teams {
		if err := t.Validate(); err != nil {
			return at(err, "fleet.teams.%s", name)
		}
	}
	for name, s := range f.Services {
		if err := s.Validate(); err != nil {
			return at(err, "fleet.services.%s", name)
		}
	}
	for name, r := range f.Routes {
		if err := r.Validate(); err != nil {
			return at(err, "fleet.routes.%s", name)
		}
		if _, ok := f.Services[r.Service]; !ok {
			err := apierr.Newf(apierr.Invalid, "name a service of fleet.services", "service %q does not exist", r.Service)
			return at(err, "fleet.routes.%s", name)
		}
	}
	return nil
}

// at names the path in the document where the error stands.
func at(err error, format string, args ...any) error {
	e := *apierr.From(err)
	e.Message = fmt.Sprintf(format, args...) + ": " + e.Message
	return &e
}
