package chivedirectory

import (
	"time"
)

// Words returns what a peer lacks that has taken everything up to an offset.
func (d *Directory) Words(now time.Time, after int64) []Word {
	var lacking []Word
	for _, e := range d.entries {
		if e.offset > after {
			lacking = append(lacking, d.word(now, e))
		}
	}
	for id, t := range d.gone {
		if t.offset > after || now.Sub(t.at) < goneTold {
			lacking = append(lacking, Word{Offset: t.offset, Endpoint: Endpoint{ID: id}, Gone: true})
		}
	}
	return lacking
}

// word is what is told of one entry.
func (d *Directory) word(now time.Time, e *entry) Word {
	w := Word{Offset: e.offset, Endpoint: e.endpoint, Missing: !e.missing.IsZero()}
	if w.Missing {
		w.Keep = max(d.graceLeft(now), e.keep.Sub(now), 0)
	}
	return w
}
