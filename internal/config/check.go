package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/team"
)

// Validate checks that every reference resolves and every limit is sane. It
// returns every fault that it finds.
func (f Fleet) Validate() error { return joined(f.faults()) }

func (f Fleet) faults() []*apierr.Error {
	var all []*apierr.Error
	all = append(all, named("fleet.teams", f.Teams, team.Spec.Validate)...)
	all = append(all, named("fleet.services", f.Services, service.Spec.Validate)...)
	all = append(all, named("fleet.routes", f.Routes, route.Spec.Validate)...)
	all = append(all, f.routeFaults()...)
	all = append(all, f.modelFaults()...)
	for _, e := range f.Limits.faults() {
		all = append(all, e.At("fleet.limits"))
	}
	return all
}

// named checks the objects of one kind and their names.
func named[T any](path string, objects map[string]T, validate func(T) error) []*apierr.Error {
	var all []*apierr.Error
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		at := pathTo(path, name)
		if !team.ValidName(name) {
			all = append(all, apierr.Newf(apierr.Invalid, "use lower case letters, digits, dots and dashes", "name %q is not valid", name).At(at))
		}
		if err := validate(objects[name]); err != nil {
			all = append(all, apierr.From(err).At(at))
		}
	}
	return all
}

// routeFaults finds routes that lead nowhere and routes that no request can
// tell apart.
func (f Fleet) routeFaults() []*apierr.Error {
	var all []*apierr.Error
	names := slices.Sorted(maps.Keys(f.Routes))
	for i, name := range names {
		r := f.Routes[name]
		at := pathTo("fleet.routes", name)
		s, exists := f.Services[r.Service]
		switch {
		case r.Service == "":
		case !exists:
			all = append(all, apierr.Newf(apierr.Invalid, "name a service of fleet.services", "service %q does not exist", r.Service).At("service").At(at))
		case s.Kind != service.Plain:
			all = append(all, apierr.Newf(apierr.Invalid, "name a plain service; engines are reached by their models",
				"service %q is not a plain service", r.Service).At("service").At(at))
		}
		for _, other := range names[:i] {
			if r.Overlaps(f.Routes[other]) {
				all = append(all, apierr.Newf(apierr.Invalid, "give each path and method to one route",
					"path %q is that of route %q too", r.Path, other).At("path").At(at))
			}
		}
	}
	return all
}

// modelFaults finds models that two services offer.
func (f Fleet) modelFaults() []*apierr.Error {
	var all []*apierr.Error
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(f.Services)) {
		for _, model := range f.Services[name].Models {
			other, taken := owner[model]
			if taken && other != name {
				all = append(all, apierr.Newf(apierr.Invalid, "offer each model by one service",
					"model %q is offered by service %q too", model, other).At("models").At(pathTo("fleet.services", name)))
			}
			owner[model] = name
		}
	}
	return all
}

// minKnowledgeAge is the smallest bound that a healthy host keeps to: it hears
// how fresh its knowledge is only as often as watches send bookmarks.
const minKnowledgeAge = 10

// faults finds limits that are out of range.
func (l Limits) faults() []*apierr.Error {
	var all []*apierr.Error
	for _, limit := range []struct {
		field string
		value float64
	}{
		{"max_body_bytes", float64(l.MaxBodyBytes)},
		{"request_timeout_seconds", l.RequestTimeoutSeconds},
		{"first_byte_seconds", l.FirstByteSeconds},
		{"answer_silence_seconds", l.ResponseIdleTimeoutSeconds},
		{"max_queued_per_team", float64(l.MaxQueuedPerTeam)},
		{"max_items_per_job", float64(l.MaxItemsPerJob)},
		{"max_knowledge_age_seconds", l.MaxKnowledgeAgeSeconds},
	} {
		if limit.value < 0 {
			all = append(all, apierr.New(apierr.Invalid, "the limit is negative", "give a number above zero, or leave it out for the default").At(limit.field))
		}
	}
	if l.MaxKnowledgeAgeSeconds > 0 && l.MaxKnowledgeAgeSeconds < minKnowledgeAge {
		all = append(all, apierr.Newf(apierr.Invalid, "give 10 or more, or leave it out for no bound",
			"the limit is below %d", minKnowledgeAge).At("max_knowledge_age_seconds"))
	}
	return all
}

// zeroLimits finds limits that are written as zero, which would read as unset.
func zeroLimits(doc map[string]any) []*apierr.Error {
	fleet, _ := doc["fleet"].(map[string]any)
	limits, _ := fleet["limits"].(map[string]any)
	return each(limits, func(name string, v any) []*apierr.Error {
		if v != float64(0) {
			return nil
		}
		return shapeError(pathTo("fleet.limits", name), "the limit is zero", "give a number above zero, or leave it out for the default")
	})
}

// removesNothing finds nulls of an overlay that stand for nothing in the base.
func removesNothing(path string, base, overlay map[string]any) []*apierr.Error {
	return each(overlay, func(name string, v any) []*apierr.Error {
		at := pathTo(path, name)
		below, known := base[name]
		if v == nil && !known {
			return shapeError(at, "null removes nothing: the base has no such field", "remove it from the overlay, or mend its name")
		}
		above, isObject := v.(map[string]any)
		if !isObject {
			return nil
		}
		inner, _ := below.(map[string]any)
		return removesNothing(at, inner, above)
	})
}

var documentType = reflect.TypeFor[Document]()

// faults of a bundle, by the overlay in which they stand; "" is the base.
func (b Bundle) faults() map[string][]*apierr.Error {
	found := map[string][]*apierr.Error{}
	base := append(checkShape("", object(b.Base), documentType, false), zeroLimits(b.Base)...)
	if len(base) > 0 {
		found[""] = base
		return found
	}
	if faults := b.renderedFaults(""); len(faults) > 0 {
		found[""] = faults
	}
	for site, overlay := range b.Overlays {
		faults := checkShape("", object(overlay), documentType, true)
		if !team.ValidName(site) {
			faults = append(faults, apierr.Newf(apierr.Invalid, "use lower case letters, digits, dots and dashes", "site name %q is not valid", site))
		}
		faults = append(faults, zeroLimits(overlay)...)
		faults = append(faults, removesNothing("", b.Base, overlay)...)
		if len(faults) == 0 && len(found[""]) == 0 {
			faults = b.renderedFaults(site)
		}
		if len(faults) > 0 {
			found[site] = faults
		}
	}
	return found
}

// object makes a missing document an empty one.
func object(doc map[string]any) map[string]any {
	if doc == nil {
		return map[string]any{}
	}
	return doc
}

func (b Bundle) renderedFaults(site string) []*apierr.Error {
	doc, err := b.Document(site)
	if err != nil {
		return []*apierr.Error{apierr.From(err)}
	}
	return append(doc.Fleet.faults(), doc.Host.faults()...)
}

// joined makes one error of several; its message has a line for each.
func joined(faults []*apierr.Error) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, len(faults))
	for i, e := range faults {
		lines[i] = e.Message
		if e.Field != "" && !strings.Contains(e.Message, e.Field) {
			lines[i] = e.Field + ": " + e.Message
		}
		if i < len(faults)-1 {
			lines[i] = fmt.Sprintf("%s; %s", lines[i], e.Remedy)
		}
	}
	last := *faults[len(faults)-1]
	last.Message = strings.Join(lines, "\n")
	return &last
}
