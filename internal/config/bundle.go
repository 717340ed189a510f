package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
)

// Render returns the merged document of one site and validates its fleet part.
// A site without an overlay gets the base.
func (b Bundle) Render(site string) (Document, error) {
	doc, err := b.Document(site)
	if err != nil {
		return Document{}, err
	}
	return doc, doc.Fleet.Validate()
}

// Document returns the merged document of one site without validating it. It is
// meant for a bundle that was validated when it was accepted: a rule added to
// the software later must not reject a stored revision.
func (b Bundle) Document(site string) (Document, error) {
	text, err := json.Marshal(Merge(b.Base, b.Overlays[site]))
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

// Validate checks the base and every overlay and returns all errors joined.
func (b Bundle) Validate() error {
	errsBySite := b.validationErrors()
	var errs []*apierr.Error
	for _, site := range slices.Sorted(maps.Keys(errsBySite)) {
		for _, e := range errsBySite[site] {
			errs = append(errs, withSitePrefix(site, e))
		}
	}
	return joinErrors(errs)
}

func withSitePrefix(site string, e *apierr.Error) *apierr.Error {
	if site == "" {
		return e
	}
	c := *e
	c.Message = "site " + site + ": " + apierr.JoinPath(e.Field, "")
	if e.Field != "" {
		c.Message += ": "
	}
	c.Message += e.Message
	return &c
}

// secretFields are the fields of the host part that must not leave the host.
var secretFields = []string{"operator_token", "operator_tokens"}

// WithoutSecrets returns a copy of the bundle without secret fields, safe to
// send to a host or to store.
func (b Bundle) WithoutSecrets() Bundle {
	out := Bundle{Base: withoutSecrets(b.Base), Overlays: map[string]map[string]any{}}
	for site, overlay := range b.Overlays {
		out.Overlays[site] = withoutSecrets(overlay)
	}
	return out
}

func withoutSecrets(doc map[string]any) map[string]any {
	host, ok := doc["host"].(map[string]any)
	if !ok {
		return doc
	}
	host = maps.Clone(host)
	for _, field := range secretFields {
		delete(host, field)
	}
	doc = maps.Clone(doc)
	doc["host"] = host
	return doc
}

// Files holds the parsed files of a bundle, so that errors can include positions.
type Files struct {
	Base     *File
	Overlays map[string]*File
}

// ReadFiles reads the base file and the overlay file of each site.
func ReadFiles(base string, overlays map[string]string) (*Files, error) {
	files := &Files{Overlays: map[string]*File{}}
	var err error
	if files.Base, err = ReadFile(base); err != nil {
		return nil, err
	}
	for site, path := range overlays {
		if files.Overlays[site], err = ReadFile(path); err != nil {
			return nil, err
		}
	}
	return files, nil
}

// Bundle returns the contents of the files.
func (f *Files) Bundle() Bundle {
	b := Bundle{Base: f.Base.Doc, Overlays: map[string]map[string]any{}}
	for site, file := range f.Overlays {
		b.Overlays[site] = file.Doc
	}
	return b
}

// Validate checks the files and returns all errors joined, each with its file,
// line and column.
func (f *Files) Validate() error {
	errsBySite := f.Bundle().validationErrors()
	var errs []*apierr.Error
	for _, site := range slices.Sorted(maps.Keys(errsBySite)) {
		for _, e := range errsBySite[site] {
			errs = append(errs, withPosition(f.position(site, e.Field), e))
		}
	}
	return joinErrors(errs)
}

// position returns the position of a path in the site's overlay, or in the base
// when only the base contains the path.
func (f *Files) position(site, path string) Position {
	overlay := f.Overlays[site]
	if overlay == nil {
		p, _ := f.Base.Position(path)
		return p
	}
	overlayPos, inOverlay := overlay.Position(path)
	basePos, inBase := f.Base.Position(path)
	if !inOverlay && inBase {
		return basePos
	}
	return overlayPos
}

// Decode decodes a file that holds one object of type T. Unknown fields and
// values of the wrong type are errors with positions.
func Decode[T any](f *File) (T, error) {
	var out T
	errs := checkType("", orEmpty(f.Doc), reflect.TypeFor[T](), false)
	for i, e := range errs {
		p, _ := f.Position(e.Field)
		errs[i] = withPosition(p, e)
	}
	if err := joinErrors(errs); err != nil {
		return out, err
	}
	text, err := json.Marshal(f.Doc)
	if err != nil {
		return out, errors.Wrap(err, "encode "+f.Name)
	}
	if err := json.Unmarshal(text, &out); err != nil {
		return out, errors.Wrap(err, "decode "+f.Name)
	}
	return out, nil
}
