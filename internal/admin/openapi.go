package admin

import (
	"bytes"
	"encoding/json"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/jsonschema-go/jsonschema"
)

type (
	openAPI struct {
		OpenAPI    string                          `json:"openapi"`
		Info       openAPIInfo                     `json:"info"`
		Paths      map[string]map[string]operation `json:"paths"`
		Components components                      `json:"components"`
		Security   []map[string][]string           `json:"security"`
	}
	openAPIInfo struct {
		Title   string `json:"title"`
		Version string `json:"version"`
	}
	operation struct {
		Summary    string              `json:"summary"`
		Parameters []parameter         `json:"parameters,omitempty"`
		Body       *content            `json:"requestBody,omitempty"`
		Responses  map[string]response `json:"responses"`
	}
	parameter struct {
		Name     string             `json:"name"`
		In       string             `json:"in"`
		Required bool               `json:"required"`
		Schema   *jsonschema.Schema `json:"schema"`
	}
	content struct {
		Content map[string]media `json:"content"`
	}
	media struct {
		Schema *jsonschema.Schema `json:"schema"`
	}
	response struct {
		Description string           `json:"description"`
		Content     map[string]media `json:"content"`
	}
	components struct {
		SecuritySchemes map[string]securityScheme `json:"securitySchemes"`
	}
	securityScheme struct {
		Type   string `json:"type"`
		Scheme string `json:"scheme"`
	}
)

var pathParameter = regexp.MustCompile(`\{(\w+)\}`)

// OpenAPIDescription returns the OpenAPI description of the API, generated from
// its endpoints.
func OpenAPIDescription() ([]byte, error) {
	doc := openAPI{
		OpenAPI:    "3.1.0",
		Info:       openAPIInfo{Title: "masticscale administration API", Version: "v1"},
		Paths:      map[string]map[string]operation{},
		Components: components{map[string]securityScheme{"operatorToken": {"http", "bearer"}}},
		Security:   []map[string][]string{{"operatorToken": {}}},
	}
	for _, e := range new(API).endpoints() {
		described, err := describeEndpoint(e)
		if err != nil {
			return nil, errors.Wrapf(err, "describe %s %s", e.method, e.path)
		}
		path := basePath + e.path
		if doc.Paths[path] == nil {
			doc.Paths[path] = map[string]operation{}
		}
		doc.Paths[path][strings.ToLower(e.method)] = described
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(doc); err != nil {
		return nil, errors.Wrap(err, "encode description")
	}
	return out.Bytes(), nil
}

func describeEndpoint(e endpoint) (operation, error) {
	o := operation{Summary: e.summary, Responses: map[string]response{}}
	for _, name := range pathParameter.FindAllStringSubmatch(e.path, -1) {
		o.Parameters = append(o.Parameters, parameter{name[1], "path", true, &jsonschema.Schema{Type: "string"}})
	}
	for _, name := range e.query {
		o.Parameters = append(o.Parameters, parameter{name, "query", false, &jsonschema.Schema{Type: "string"}})
	}
	out, err := jsonContent(e.out)
	if err != nil {
		return o, err
	}
	errorBody, err := jsonContent(ErrorBody{})
	if err != nil {
		return o, err
	}
	o.Responses["200"] = response{"done", out.Content}
	o.Responses["default"] = response{"refused; the error names the remedy", errorBody.Content}
	if e.in != nil {
		o.Body, err = jsonContent(e.in)
	}
	return o, err
}

func jsonContent(v any) (*content, error) {
	schema, err := jsonschema.ForType(reflect.TypeOf(v), &jsonschema.ForOptions{IgnoreInvalidTypes: true})
	if err != nil {
		return nil, err
	}
	return &content{map[string]media{"application/json": {schema}}}, nil
}
