package chiveentry

import (
	"fmt"
	"net/http"
)

// headerLineOverhead is the number of bytes in a header line besides name and value: colon, space and CRLF.
const headerLineOverhead = 4

// CheckHeader returns a *FailureError if a request's header is larger than limit bytes; zero means no limit.
func CheckHeader(header http.Header, limit int64) error {
	size := int64(0)
	for name, values := range header {
		for _, value := range values {
			size += int64(len(name) + len(value) + headerLineOverhead)
		}
	}
	if size <= limit || limit == 0 {
		return nil
	}
	return newRefusal(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", fmt.Sprintf("the header has %d bytes, more than %d", size, limit))
}
