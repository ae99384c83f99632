package transport

import "bytes"

const (
	statusPrefix = "HTTP/"
	// currentStatusPrefix is what responses in the one version with transfer encodings begin with.
	currentStatusPrefix = "HTTP/1.1 "
	// interimClass is what the status of an interim response begins with.
	interimClass  = "1"
	encodingField = "Transfer-Encoding"
	// maxScannedLine is how many bytes of a line are looked at: more than a name and a colon.
	maxScannedLine = 32
)

// EncodingScan looks for a transfer encoding in the heads of a response, interim ones and the final one, where their version
// of HTTP has none. net/http does not heed it then and takes it out of the head, so that the sizes of chunks would be taken
// for parts of the body (RFC 9112, section 6.1). Its zero value is at the beginning of a response.
type EncodingScan struct {
	// line is the beginning of the current line.
	line []byte
	// inHead is set behind a status line.
	inHead bool
	// isCurrent and isInterim are set by the status line of the current head.
	isCurrent, isInterim bool
	// ended is set once nothing more is looked for: the final head has ended or may name encodings, or the bytes are no response.
	ended bool
}

// Next continues with the next bytes of a response. It fails with *MisplacedEncoding.
func (s *EncodingScan) Next(data []byte) error {
	for len(data) > 0 && !s.ended {
		part, rest, isComplete := bytes.Cut(data, []byte("\n"))
		s.line = append(s.line, part[:min(len(part), maxScannedLine-len(s.line))]...)
		if !s.inHead && !mayBeStatusLine(s.line, isComplete) {
			s.ended = true
		} else if isComplete {
			if err := s.endLine(); err != nil {
				return err
			}
		}
		data = rest
	}
	return nil
}

// mayBeStatusLine reports whether a line of which the beginning or all is known may be a status line.
func mayBeStatusLine(line []byte, isComplete bool) bool {
	if len(line) < len(statusPrefix) {
		return !isComplete
	}
	return bytes.HasPrefix(line, []byte(statusPrefix))
}

// endLine evaluates a line and begins the next.
func (s *EncodingScan) endLine() error {
	line := bytes.TrimSuffix(s.line, []byte("\r"))
	s.line = s.line[:0]
	if !s.inHead {
		s.beginHead(line)
		return nil
	}
	if len(line) == 0 {
		s.inHead = false
		s.ended = !s.isInterim
		return nil
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	if !s.isCurrent && bytes.EqualFold(name, []byte(encodingField)) {
		return &MisplacedEncoding{}
	}
	return nil
}

// beginHead evaluates a status line.
func (s *EncodingScan) beginHead(line []byte) {
	_, status, _ := bytes.Cut(line, []byte(" "))
	s.inHead = true
	s.isCurrent = bytes.HasPrefix(line, []byte(currentStatusPrefix))
	s.isInterim = bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte(interimClass))
	s.ended = s.isCurrent && !s.isInterim
}
