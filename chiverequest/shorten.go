package chiverequest

// maxQuotedBytes is how much a response or a log line quotes of what a caller sent, in bytes.
const maxQuotedBytes = 40

// Shorten returns the beginning of what a caller sent, for a response or a log line that quotes it.
func Shorten[T ~string | ~[]byte](text T) string {
	if len(text) > maxQuotedBytes {
		return string(text[:maxQuotedBytes]) + "..."
	}
	return string(text)
}
