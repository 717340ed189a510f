package config

// Merge applies an overlay to a base: objects are merged recursively, null
// removes a field, and any other value replaces that of the base. It does not
// modify its arguments.
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
		overlayObject, isObject := v.(map[string]any)
		if !isObject {
			out[k] = v
			continue
		}
		baseObject, _ := out[k].(map[string]any)
		out[k] = Merge(baseObject, overlayObject)
	}
	return out
}
