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

// SharedTokens returns the number of tokens of a prompt up to the end of its shared part; of a prompt with one part, the
// tokens of that part.
func SharedTokens(p *chiverequest.Prompt) (tokens int64) {
	for i, part := range p.Parts {
		if i == 0 || i < len(p.Parts)-1 {
			tokens += part.Tokens
		}
	}
	return tokens
}
