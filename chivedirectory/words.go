package chivedirectory

import (
	"time"
)

// Update is what a node tells a peer that has taken everything up to an offset.
type Update struct {
	Words []Word
	// Whole tells that the words name all endpoints that there are at the offset End: what the peer knows besides, and is not newer, is gone.
	Whole bool
	End   int64
}

// Update returns what a peer lacks that has taken everything up to an offset.
//
// A node that started from a snapshot of the store knows what there is, and not what has been removed before. A peer from before the snapshot
// that took the later words alone would count as up to date, be told nothing more, and keep what was removed in between for ever; so it is told
// all that there is.
func (d *Directory) Update(now time.Time, after int64) Update {
	if after < d.rooted {
		return Update{Words: d.words(now, noOffset), Whole: true, End: d.rooted}
	}
	return Update{Words: d.words(now, after)}
}

// words returns the words after an offset, and the removals of the last seconds.
func (d *Directory) words(now time.Time, after int64) []Word {
	var words []Word
	for _, e := range d.entries {
		if e.offset > after {
			words = append(words, d.word(now, e))
		}
	}
	for id, t := range d.gone {
		if t.offset > after || now.Sub(t.at) < goneTold {
			words = append(words, Word{Offset: t.offset, Endpoint: Endpoint{ID: id}, Gone: true})
		}
	}
	return words
}

// word is what is told of one entry.
func (d *Directory) word(now time.Time, e *entry) Word {
	w := Word{Offset: e.offset, Endpoint: e.endpoint, Missing: !e.missing.IsZero()}
	if w.Missing {
		w.Keep = max(d.graceLeft(now), e.keep.Sub(now), 0)
	}
	return w
}

// Learn takes an update and reports whether anything that matters for routing changed.
func (d *Directory) Learn(now time.Time, update Update) bool {
	// A removal does not name an endpoint: it may be of an earlier entry than the one that is known here.
	named := make(map[string]bool, len(update.Words))
	changed := false
	for _, w := range update.Words {
		named[w.Endpoint.ID] = named[w.Endpoint.ID] || !w.Gone
		changed = d.Apply(now, w) || changed
	}
	if !update.Whole {
		return changed
	}
	for id, known := range d.entries {
		if !named[id] && known.offset <= update.End {
			changed = d.remove(now, id, update.End) || changed
		}
	}
	d.rooted = max(d.rooted, update.End)
	return changed
}
