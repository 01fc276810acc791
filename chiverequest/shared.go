package chiverequest

import (
	"encoding/binary"
	"strings"
)

const (
	// maxSharedParts bounds how many parts of a prompt are held responsible for crashes of engines; the first ones count.
	maxSharedParts = 20
	// maxPartNameBytes bounds the part of a name that is logged.
	maxPartNameBytes = 64
	// partPrefix begins the fingerprints of prompt parts, which are shorter than those of requests.
	partPrefix = "part/"
	partBytes  = len(partPrefix) + 8
)

// SharedPart is a part of a request's prompt that other requests may have too.
type SharedPart struct {
	Key Fingerprint
	// Name is the caller's name of the part, shortened.
	Name string
}

// SharedParts returns the parts of a prompt that other requests may have: all but the last one, which belongs to the
// request or its session.
func SharedParts(prompt *Prompt) []SharedPart {
	if prompt == nil || len(prompt.Parts) < 2 {
		return nil
	}
	parts := prompt.Parts[:min(len(prompt.Parts)-1, maxSharedParts)]
	shared := make([]SharedPart, 0, len(parts))
	for i, p := range parts {
		part := SharedPart{Key: Fingerprint(binary.BigEndian.AppendUint64([]byte(partPrefix), p.ID))}
		if i < len(prompt.Names) {
			part.Name = strings.ToValidUTF8(prompt.Names[i][:min(len(prompt.Names[i]), maxPartNameBytes)], "")
		}
		shared = append(shared, part)
	}
	return shared
}

// IsPart reports whether a fingerprint is that of a prompt part.
func (f Fingerprint) IsPart() bool {
	return len(f) == partBytes && strings.HasPrefix(string(f), partPrefix)
}
