package config_test

import (
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"sort"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/masticscale/masticscale/internal/config"
)

const validBase = `{
  // comments and trailing commas are allowed
  "fleet": {
    "teams": {"forecourt": {"rate": 10, "burst": 5}},
    "services": {
      "lm": {"kind": "engine", "models": ["m"], "upstreams": {"e1": {"address": "http://10.0.0.1:80"}}},
      "cards": {"kind": "plain", "upstreams": {"c1": {"address": "http://10.0.0.2:80"}}},
    },
    "routes": {"disputes": {"path": "/disputes", "service": "cards"}},
    "limits": {"max_queued_per_team": 5},
  },
}`

// TestErrorsIncludePosition validates one invalid text per case and checks the
// position, path and remedy in the error.
func TestErrorsIncludePosition(t *testing.T) {
	for _, test := range []struct{ name, base, overlay, want string }{
		{"syntax", "{\n  \"fleet\": {,}\n}", "", `base.jsonc:2:13: .*; mend the syntax`},
		{"not an object", "[]", "", `base.jsonc:1:1: the file is not one JSON object; begin it with "\{"`},
		{"second name", "{\"host\": {},\n \"host\": {}}", "", `base.jsonc:2:2: host: the name stands twice in one object; remove one of the two`},
		{"unknown field", "{\n \"flet\": {}}", "", `base.jsonc:2:2: flet: field "flet" is not known; use one of fleet, host`},
		{"unknown inner field", `{"fleet": {"teams": {"a": {"rate": 1, "burst": 1, "wieght": 2}}}}`, "", `base.jsonc:1:51: fleet.teams.a.wieght: field "wieght" is not known; use one of burst, rate, weight`},
		{"wrong type", `{"fleet": {"teams": {"a": {"rate": "1", "burst": 1}}}}`, "", `base.jsonc:1:28: fleet.teams.a.rate: "1" has the wrong type; write a number`},
		{"not whole", `{"fleet": {"teams": {"a": {"rate": 1, "burst": 1.5}}}}`, "", `base.jsonc:1:39: fleet.teams.a.burst: 1.5 has the wrong type; write a whole number`},
		{"list element", `{"fleet": {"routes": {"r": {"path": "/a", "service": "s", "methods": ["GET", 3]}}}}`, "", `base.jsonc:1:78: fleet.routes.r.methods\[1\]: 3 has the wrong type; write text in quotes`},
		{"null in the base", `{"fleet": null}`, "", `base.jsonc:1:2: fleet: null has no meaning here; leave the field out`},
		{"number too large", `{"fleet": {"teams": {"a": {"rate": 1e999, "burst": 1}}}}`, "", `base.jsonc:1:28: fleet.teams.a.rate: "1e999" has the wrong type; write a number`},
		{"zero rate", `{"fleet": {"teams": {"a": {"rate": 0, "burst": 1}}}}`, "", `base.jsonc:1:28: fleet.teams.a.rate: rate must be above zero; .*`},
		{"missing burst", `{"fleet": {"teams": {"a": {"rate": 1}}}}`, "", `base.jsonc:1:22: fleet.teams.a.burst: burst must be at least 1; .*`},
		{"dotted name", `{"fleet": {"teams": {"a.b": {"rate": -1, "burst": 1}}}}`, "", `base.jsonc:1:30: fleet.teams\["a.b"\].rate: rate must be above zero; .*`},
		{"bad name", `{"fleet": {"teams": {"A": {"rate": 1, "burst": 1}}}}`, "", `base.jsonc:1:22: fleet.teams.A: name "A" is not valid; .*`},
		{"zero limit", `{"fleet": {"limits": {"max_body_bytes": 0}}}`, "", `base.jsonc:1:23: fleet.limits.max_body_bytes: the limit is zero; .*`},
		{"negative limit", `{"fleet": {"limits": {"max_items_per_job": -1}}}`, "", `base.jsonc:1:23: fleet.limits.max_items_per_job: the limit is negative; .*`},
		{"knowledge age too small", `{"fleet": {"limits": {"max_knowledge_age_seconds": 1}}}`, "", `base.jsonc:1:23: .*: the limit is below 10; .*`},
		{"dangling service", `{"fleet": {"routes": {"r": {"path": "/a", "service": "s"}}}}`, "", `base.jsonc:1:43: fleet.routes.r.service: service "s" does not exist; name a service of fleet.services`},
		{"route to an engine", strings.Replace(validBase, `"service": "cards"`, `"service": "lm"`, 1), "", `base.jsonc:9:50: fleet.routes.disputes.service: service "lm" is not a plain service; .*`},
		{"model twice", strings.Replace(validBase, `"kind": "plain",`, `"kind": "engine", "models": ["m"],`, 1), "", `base.jsonc:9:50: .*not a plain service.*\nbase.jsonc:6:32: fleet.services.lm.models: model "m" is offered by service "cards" too; .*`},
		{"path twice", strings.Replace(validBase, `"routes": {`, `"routes": {"also": {"path": "/disputes", "service": "cards"}, `, 1), "", `base.jsonc:9:80: fleet.routes.disputes.path: path "/disputes" is that of route "also" too; .*`},
		{"address twice", strings.Replace(validBase, `"e1": {`, `"e0": {"address": "http://10.0.0.1:80"}, "e1": {`, 1), "", `base.jsonc:6:111: fleet.services.lm.upstreams.e1.address: address .* is that of upstream "e0" too; .*`},
		{"log level", `{"host": {"log_level": "loud"}}`, "", `base.jsonc:1:11: host.log_level: level "loud" is not known; use debug, info, warning or error`},
		{"overlay field", validBase, "{\n\"fleet\": {\"temas\": {}}}", `site.jsonc:2:11: fleet.temas: field "temas" is not known; .*`},
		{"overlay removes nothing", validBase, `{"fleet": {"teams": {"cafe": null}}}`, `site.jsonc:1:22: fleet.teams.cafe: null removes nothing: the base has no such field; .*`},
		{"overlay breaks the base", validBase, `{"fleet": {"services": {"cards": null}}}`, `base.jsonc:9:50: fleet.routes.disputes.service: service "cards" does not exist; .*`},
		{"overlay value", validBase, `{"fleet": {"teams": {"forecourt": {"rate": -3}}}}`, `site.jsonc:1:36: fleet.teams.forecourt.rate: rate must be above zero; .*`},
		{"overlay zero limit", validBase, `{"fleet": {"limits": {"max_queued_per_team": 0}}}`, `site.jsonc:1:23: .*: the limit is zero; .*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, validateTexts(test.base, test.overlay), qt.ErrorMatches, test.want)
		})
	}
}

func validateTexts(base, overlay string) error {
	var files config.Files
	var err error
	if files.Base, err = config.Parse("base.jsonc", []byte(base)); err != nil {
		return err
	}
	if overlay != "" {
		file, err := config.Parse("site.jsonc", []byte(overlay))
		if err != nil {
			return err
		}
		files.Overlays = map[string]*config.File{"north": file}
	}
	return files.Validate()
}

func TestValidFilesPass(t *testing.T) {
	c := qt.New(t)
	c.Assert(validateTexts(validBase, ""), qt.IsNil)
	c.Assert(validateTexts(validBase, `{"fleet": {"routes": {"disputes": null}, "teams": {"forecourt": {"burst": 9}}}}`), qt.IsNil)
	c.Assert(validateTexts(`{}`, `{}`), qt.IsNil)
}

// TestMergeMatchesReference compares Merge with an implementation that works on
// lists of paths and values.
func TestMergeMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := genObject(false).Draw(t, "base")
		overlay := genObject(true).Draw(t, "overlay")
		before, _ := json.Marshal([]any{base, overlay})
		got := config.Merge(base, overlay)
		if want := referenceMerge(base, overlay); !reflect.DeepEqual(got, want) {
			t.Fatalf("merge of %v with %v is %v, want %v", base, overlay, got, want)
		}
		if after, _ := json.Marshal([]any{base, overlay}); string(after) != string(before) {
			t.Fatalf("merge changed its arguments: %s", after)
		}
	})
}

func genObject(nulls bool) *rapid.Generator[map[string]any] {
	leaf := rapid.OneOf(rapid.Map(rapid.IntRange(0, 3), func(n int) any { return float64(n) }),
		rapid.Just[any]([]any{"x"}))
	if nulls {
		leaf = rapid.OneOf(leaf, rapid.Just[any](nil))
	}
	value := leaf
	for range 3 {
		inner := value
		value = rapid.OneOf(leaf, rapid.Map(rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c"}), inner, 0, 3),
			func(m map[string]any) any { return m }))
	}
	return rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c"}), value, 0, 3)
}

// referenceMerge applies the overlay's values one by one, shortest path first.
func referenceMerge(base, overlay map[string]any) map[string]any {
	out := map[string]any{}
	text, _ := json.Marshal(base)
	_ = json.Unmarshal(text, &out)
	var paths [][]string
	var visit func(path []string, v any)
	visit = func(path []string, v any) {
		paths = append(paths, path)
		if object, ok := v.(map[string]any); ok {
			for name, inner := range object {
				visit(append(append([]string{}, path...), name), inner)
			}
		}
	}
	for name, v := range overlay {
		visit([]string{name}, v)
	}
	sort.SliceStable(paths, func(i, j int) bool { return len(paths[i]) < len(paths[j]) })
	for _, path := range paths {
		setAt(out, path, valueAt(overlay, path))
	}
	return out
}

func valueAt(doc map[string]any, path []string) any {
	var v any = doc
	for _, name := range path {
		v = v.(map[string]any)[name]
	}
	return v
}

func setAt(doc map[string]any, path []string, v any) {
	for _, name := range path[:len(path)-1] {
		doc = doc[name].(map[string]any)
	}
	name := path[len(path)-1]
	_, isObject := v.(map[string]any)
	_, wasObject := doc[name].(map[string]any)
	switch {
	case v == nil:
		delete(doc, name)
	case isObject && !wasObject:
		doc[name] = map[string]any{}
	case !isObject:
		doc[name] = v
	}
}

// FuzzParse looks for texts that make the parser or the validation panic, and
// for errors without a position.
func FuzzParse(f *testing.F) {
	f.Add(validBase, `{"fleet": {"teams": {"forecourt": null}}}`)
	f.Add(`{"a.b": [1, {"c": null}]}`, `[]`)
	f.Add("{\"host\": {\"\\u0000\": 1e400}}", "{} // end")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		err := validateTexts(base, overlay)
		if err != nil && !strings.Contains(err.Error(), ".jsonc:") {
			t.Fatalf("the error names no place: %v", err)
		}
	})
}

var update = flag.Bool("update", false, "write the committed schema anew")

const schemaFile = "../../docs/schema/config.schema.json"

func TestCommittedSchemaIsCurrent(t *testing.T) {
	c := qt.New(t)
	want, err := config.Schema()
	c.Assert(err, qt.IsNil)
	if *update {
		c.Assert(os.WriteFile(schemaFile, want, 0o644), qt.IsNil)
	}
	got, err := os.ReadFile(schemaFile)
	c.Assert(err, qt.IsNil, qt.Commentf("write it with: go test ./internal/config -run Schema -update"))
	c.Assert(string(got), qt.Equals, string(want))
}

func TestChangesListEveryDifference(t *testing.T) {
	c := qt.New(t)
	before := config.Bundle{Base: map[string]any{"a": 1.0, "b": map[string]any{"c": "x", "d": "y"}}}
	after := config.Bundle{
		Base:     map[string]any{"a": 2.0, "b": map[string]any{"c": "x"}},
		Overlays: map[string]map[string]any{"north": {"e": true}},
	}
	c.Assert(before.Changes(after), qt.DeepEquals, []config.Change{
		{Path: "base: a", Before: 1.0, After: 2.0},
		{Path: "base: b.d", Before: "y"},
		{Path: "overlay north: e", After: true},
	})
}
