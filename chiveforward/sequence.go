package chiveforward

import "strconv"

// position is the number of an event in its stream, if its ID is one.
type position struct {
	number int64
	known  bool
}

func positionOf(id string) position {
	number, err := strconv.ParseInt(id, 10, 64)
	return position{number: number, known: err == nil}
}
