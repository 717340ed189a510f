package config

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/google/jsonschema-go/jsonschema"
)

// Schema returns the JSON Schema of the configuration files, for use by editors.
// No field is required, because a base or an overlay can hold any part.
func Schema() ([]byte, error) {
	schema, err := jsonschema.For[Document](nil)
	if err != nil {
		return nil, errors.Wrap(err, "derive schema")
	}
	allowPartial(schema)
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

// allowPartial removes the required properties of a schema and the null type of
// its lists.
func allowPartial(s *jsonschema.Schema) {
	if s == nil {
		return
	}
	s.Required = nil
	if len(s.Types) > 0 { // list: ["null", "array"], because a Go slice can be nil
		s.Type, s.Types = s.Types[len(s.Types)-1], nil
	}
	for _, property := range s.Properties {
		allowPartial(property)
	}
	allowPartial(s.Items)
	allowPartial(s.AdditionalProperties)
}
