package chivedirectory

import "time"

// unusableKeep is how long an endpoint is kept after its record has become unusable. A live endpoint registers again with
// its next heartbeat, about 1.2 s apart, and the entry of one that has ended lapses after three of them.
const unusableKeep = 4 * time.Second

// doubt processes a record that states no endpoint. It may come from another writer, so it does not show that the
// endpoint has left: the known entry is kept as a missing one, until a later record confirms it or unusableKeep has
// passed. Peers receive it as a missing entry.
func (d *Directory) doubt(now time.Time, change Change) {
	known, ok := d.entries[change.Endpoint.ID]
	if !ok || known.position >= change.Position {
		return
	}
	if !known.missingSince.IsZero() {
		known.position = change.Position
		d.supersede(change.Endpoint.ID, change.Position)
		return
	}
	d.markMissing(now, Change{Position: change.Position, Missing: true, Keep: unusableKeep, Endpoint: *known.endpoint})
}
