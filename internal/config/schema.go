package config

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/google/jsonschema-go/jsonschema"
)

// Schema returns the JSON Schema of the configuration files, for editors. It
// has no required fields, since a base and an overlay each hold a part.
func Schema() ([]byte, error) {
	schema, err := jsonschema.For[Document](nil)
	if err != nil {
		return nil, errors.Wrap(err, "derive schema")
	}
	relax(schema)
	schema.Schema = "https://json-schema.org/draft/2020-12/schema"
	schema.Title = "masticscale configuration"
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(schema); err != nil {
		return nil, errors.Wrap(err, "encode schema")
	}
	return out.Bytes(), nil
}

// relax drops what only a whole document has to satisfy.
func relax(s *jsonschema.Schema) {
	if s == nil {
		return
	}
	s.Required = nil
	if len(s.Types) > 0 { // lists, which Go could hold as nil
		s.Type, s.Types = s.Types[len(s.Types)-1], nil
	}
	for _, property := range s.Properties {
		relax(property)
	}
	relax(s.Items)
	relax(s.AdditionalProperties)
}
