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

// Render returns the document of one site. A site without an overlay gets the
// base.
func (b Bundle) Render(site string) (Document, error) {
	doc, err := b.Document(site)
	if err != nil {
		return Document{}, err
	}
	return doc, doc.Fleet.Validate()
}

// Document returns the document of one site of a bundle that was checked when
// it was accepted. Checks that are younger than the revision do not apply.
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

// Validate checks the base and every overlay, and returns every fault that it
// finds.
func (b Bundle) Validate() error {
	found := b.faults()
	var all []*apierr.Error
	for _, site := range slices.Sorted(maps.Keys(found)) {
		for _, e := range found[site] {
			all = append(all, inSite(site, e))
		}
	}
	return joined(all)
}

func inSite(site string, e *apierr.Error) *apierr.Error {
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

// secretFields of the host part stay on the host.
var secretFields = []string{"operator_token", "operator_tokens"}

// WithoutSecrets returns the bundle as it may leave the operator's machine.
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

// Files are the files of a bundle, for errors that name the place.
type Files struct {
	Base     *File
	Overlays map[string]*File
}

// ReadFiles reads a base and the overlay of each site.
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

// Bundle returns what the files hold.
func (f *Files) Bundle() Bundle {
	b := Bundle{Base: f.Base.Doc, Overlays: map[string]map[string]any{}}
	for site, file := range f.Overlays {
		b.Overlays[site] = file.Doc
	}
	return b
}

// Validate checks the files and names file, line and column of every fault.
func (f *Files) Validate() error {
	found := f.Bundle().faults()
	var all []*apierr.Error
	for _, site := range slices.Sorted(maps.Keys(found)) {
		for _, e := range found[site] {
			all = append(all, placed(f.position(site, e.Field), e))
		}
	}
	return joined(all)
}

// position finds a path in the site's overlay, or in the base where the overlay
// does not have it.
func (f *Files) position(site, path string) Position {
	overlay := f.Overlays[site]
	if overlay == nil {
		p, _ := f.Base.Position(path)
		return p
	}
	above, exact := overlay.Position(path)
	below, exactBelow := f.Base.Position(path)
	if !exact && exactBelow {
		return below
	}
	return above
}

// Decode reads a file that holds one object of a type.
func Decode[T any](f *File) (T, error) {
	var out T
	faults := checkShape("", object(f.Doc), reflect.TypeFor[T](), false)
	for i, e := range faults {
		p, _ := f.Position(e.Field)
		faults[i] = placed(p, e)
	}
	if err := joined(faults); err != nil {
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
