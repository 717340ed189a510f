package config

// Merge lays an overlay over a base: objects merge name by name, null removes a
// name, and every other value replaces the base's. Neither argument is changed.
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
