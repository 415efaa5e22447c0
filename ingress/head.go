package ingress

import "bytes"

// headScanner finds the end of a request's head in pieces of any size. Blank lines
// before the request line count towards the head.
type headScanner struct {
	size    int
	inLine  bool // after the first byte of a line that is not blank
	started bool // after the request line
}

// scan returns whether the head ends in data. The size then includes the end.
func (h *headScanner) scan(data []byte) bool {
	for i := 0; i < len(data); {
		if h.inLine {
			end := bytes.IndexByte(data[i:], '\n')
			if end < 0 {
				break
			}
			i += end + 1
			h.inLine, h.started = false, true
			continue
		}
		switch data[i] {
		case '\r':
		case '\n':
			if h.started {
				h.size += i + 1
				return true
			}
		default:
			h.inLine = true
		}
		i++
	}
	h.size += len(data)
	return false
}
