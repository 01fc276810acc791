package chiveplace

import (
	"chivedrift/chiverequest"
)

// SharedPart returns the id of the last part of a prompt that other requests may share: the second to last part, as the
// last one belongs to the request or its session. Of a prompt with one part it returns that part, of one without parts
// 0.
func SharedPart(p *chiverequest.Prompt) uint64 {
	switch len(p.Parts) {
	case 0:
		return 0
	case 1:
		return p.Parts[0].ID
	}
	return p.Parts[len(p.Parts)-2].ID
}
