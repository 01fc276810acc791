package chiveconfig

// An overlay changes single fields of the base: mappings merge field by field, lists of named
// elements merge by name with new names appended, and any other value replaces the base's.

func mergeMaps(under, above map[string]any) map[string]any {
	merged := make(map[string]any, len(under)+len(above))
	for key, value := range under {
		merged[key] = value
	}
	for key, value := range above {
		merged[key] = mergeValues(merged[key], value)
	}
	return merged
}

func mergeValues(under, above any) any {
	switch value := above.(type) {
	case map[string]any:
		if base, ok := under.(map[string]any); ok {
			return mergeMaps(base, value)
		}
	case []any:
		if base, ok := under.([]any); ok && allNamed(base) && allNamed(value) {
			return mergeNamed(base, value)
		}
	}
	return above
}

func mergeNamed(under, above []any) []any {
	merged := append([]any(nil), under...)
	place := make(map[string]int, len(under))
	for i, element := range under {
		place[elementName(element)] = i
	}
	for _, element := range above {
		if i, ok := place[elementName(element)]; ok {
			merged[i] = mergeValues(merged[i], element)
			continue
		}
		merged = append(merged, element)
	}
	return merged
}

func allNamed(list []any) bool {
	for _, element := range list {
		if elementName(element) == "" {
			return false
		}
	}
	return true
}

func elementName(element any) string {
	fields, ok := element.(map[string]any)
	if !ok {
		return ""
	}
	name, _ := fields["name"].(string)
	return name
}
