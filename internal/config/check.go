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

// Validate checks all objects, the references between them and the limits, and
// returns all errors joined.
func (f Fleet) Validate() error { return joinErrors(f.validationErrors()) }

func (f Fleet) validationErrors() []*apierr.Error {
	var errs []*apierr.Error
	errs = append(errs, validateNamed("fleet.teams", f.Teams, team.Spec.Validate)...)
	errs = append(errs, validateNamed("fleet.services", f.Services, service.Spec.Validate)...)
	errs = append(errs, validateNamed("fleet.routes", f.Routes, route.Spec.Validate)...)
	errs = append(errs, f.validateRoutes()...)
	errs = append(errs, f.validateModels()...)
	for _, e := range f.Limits.validationErrors() {
		errs = append(errs, e.At("fleet.limits"))
	}
	return errs
}

// validateNamed validates the objects of one kind and their names.
func validateNamed[T any](path string, objects map[string]T, validate func(T) error) []*apierr.Error {
	var errs []*apierr.Error
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		at := memberPath(path, name)
		if !team.ValidName(name) {
			errs = append(errs, apierr.Newf(apierr.Invalid, "use lower case letters, digits, dots and dashes", "name %q is not valid", name).At(at))
		}
		if err := validate(objects[name]); err != nil {
			errs = append(errs, apierr.From(err).At(at))
		}
	}
	return errs
}

// validateRoutes reports routes without a plain service and routes that overlap.
func (f Fleet) validateRoutes() []*apierr.Error {
	var errs []*apierr.Error
	names := slices.Sorted(maps.Keys(f.Routes))
	for i, name := range names {
		r := f.Routes[name]
		at := memberPath("fleet.routes", name)
		s, exists := f.Services[r.Service]
		switch {
		case r.Service == "":
		case !exists:
			errs = append(errs, apierr.Newf(apierr.Invalid, "name a service of fleet.services", "service %q does not exist", r.Service).At("service").At(at))
		case s.Kind != service.Plain:
			errs = append(errs, apierr.Newf(apierr.Invalid, "name a plain service; engines are reached by their models",
				"service %q is not a plain service", r.Service).At("service").At(at))
		}
		for _, other := range names[:i] {
			if r.Overlaps(f.Routes[other]) {
				errs = append(errs, apierr.Newf(apierr.Invalid, "give each path and method to one route",
					"path %q is that of route %q too", r.Path, other).At("path").At(at))
			}
		}
	}
	return errs
}

// validateModels reports models that two services offer.
func (f Fleet) validateModels() []*apierr.Error {
	var errs []*apierr.Error
	serviceByModel := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(f.Services)) {
		for _, model := range f.Services[name].Models {
			other, taken := serviceByModel[model]
			if taken && other != name {
				errs = append(errs, apierr.Newf(apierr.Invalid, "offer each model by one service",
					"model %q is offered by service %q too", model, other).At("models").At(memberPath("fleet.services", name)))
			}
			serviceByModel[model] = name
		}
	}
	return errs
}

// minKnowledgeAgeSeconds is the lowest accepted bound. A lower one would reject
// callers on healthy hosts, whose knowledge age is confirmed only as often as
// watches send bookmarks.
const minKnowledgeAgeSeconds = 10

// validationErrors reports limits that are out of range.
func (l Limits) validationErrors() []*apierr.Error {
	var errs []*apierr.Error
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
			errs = append(errs, apierr.New(apierr.Invalid, "the limit is negative", "give a number above zero, or leave it out for the default").At(limit.field))
		}
	}
	if l.MaxKnowledgeAgeSeconds > 0 && l.MaxKnowledgeAgeSeconds < minKnowledgeAgeSeconds {
		errs = append(errs, apierr.Newf(apierr.Invalid, "give 10 or more, or leave it out for no bound",
			"the limit is below %d", minKnowledgeAgeSeconds).At("max_knowledge_age_seconds"))
	}
	return errs
}

// checkZeroLimits reports limits that are explicitly zero. After decoding they
// could not be told from unset ones.
func checkZeroLimits(doc map[string]any) []*apierr.Error {
	fleet, _ := doc["fleet"].(map[string]any)
	limits, _ := fleet["limits"].(map[string]any)
	return visitMembers(limits, func(name string, v any) []*apierr.Error {
		if v != float64(0) {
			return nil
		}
		return fieldError(memberPath("fleet.limits", name), "the limit is zero", "give a number above zero, or leave it out for the default")
	})
}

// checkRemovals reports nulls in an overlay whose field the base does not have.
func checkRemovals(path string, base, overlay map[string]any) []*apierr.Error {
	return visitMembers(overlay, func(name string, v any) []*apierr.Error {
		at := memberPath(path, name)
		baseValue, known := base[name]
		if v == nil && !known {
			return fieldError(at, "null removes nothing: the base has no such field", "remove it from the overlay, or mend its name")
		}
		overlayObject, isObject := v.(map[string]any)
		if !isObject {
			return nil
		}
		baseObject, _ := baseValue.(map[string]any)
		return checkRemovals(at, baseObject, overlayObject)
	})
}

var documentType = reflect.TypeFor[Document]()

// validationErrors returns the errors of a bundle by site; "" is the base.
func (b Bundle) validationErrors() map[string][]*apierr.Error {
	errsBySite := map[string][]*apierr.Error{}
	baseErrs := append(checkType("", orEmpty(b.Base), documentType, false), checkZeroLimits(b.Base)...)
	if len(baseErrs) > 0 {
		errsBySite[""] = baseErrs
		return errsBySite
	}
	if errs := b.validateRendered(""); len(errs) > 0 {
		errsBySite[""] = errs
	}
	for site, overlay := range b.Overlays {
		errs := checkType("", orEmpty(overlay), documentType, true)
		if !team.ValidName(site) {
			errs = append(errs, apierr.Newf(apierr.Invalid, "use lower case letters, digits, dots and dashes", "site name %q is not valid", site))
		}
		errs = append(errs, checkZeroLimits(overlay)...)
		errs = append(errs, checkRemovals("", b.Base, overlay)...)
		if len(errs) == 0 && len(errsBySite[""]) == 0 {
			errs = b.validateRendered(site)
		}
		if len(errs) > 0 {
			errsBySite[site] = errs
		}
	}
	return errsBySite
}

// orEmpty returns the document, or an empty one if it is nil.
func orEmpty(doc map[string]any) map[string]any {
	if doc == nil {
		return map[string]any{}
	}
	return doc
}

func (b Bundle) validateRendered(site string) []*apierr.Error {
	doc, err := b.Document(site)
	if err != nil {
		return []*apierr.Error{apierr.From(err)}
	}
	return append(doc.Fleet.validationErrors(), doc.Host.validationErrors()...)
}

// joinErrors combines errors into one whose message has a line for each.
func joinErrors(errs []*apierr.Error) error {
	if len(errs) == 0 {
		return nil
	}
	lines := make([]string, len(errs))
	for i, e := range errs {
		lines[i] = e.Message
		if e.Field != "" && !strings.Contains(e.Message, e.Field) {
			lines[i] = e.Field + ": " + e.Message
		}
		if i < len(errs)-1 {
			lines[i] = fmt.Sprintf("%s; %s", lines[i], e.Remedy)
		}
	}
	last := *errs[len(errs)-1]
	last.Message = strings.Join(lines, "\n")
	return &last
}
