package heads

import "bytes"

// MaxHeadBytes bounds a head, and the lines of chunks and trailers.
const MaxHeadBytes = 64 << 10

// state is what a Judge expects next.
type state int

const (
	statusLine state = iota
	fieldLine
	lengthBytes
	closedBytes
	sizeLine
	chunkBytes
	chunkEnd
	trailerLine
)

// Judge follows the bytes that arrive on one connection through its answers; the zero value is at the start
// of the first one.
type Judge struct {
	method string
	state  state
	head   head
	// left is the number of bytes that are left of a body or a chunk.
	left int64
	// partial is the beginning of a line.
	partial []byte
	// lineBytes counts the bytes of lines since the last part of a body.
	lineBytes int
	err       error
}

// Expect sets the method of the request that the next answers are for.
func (j *Judge) Expect(method string) {
	j.method = method
}

// IsBetween reports whether the last answer is complete and nothing of another one has come.
func (j *Judge) IsBetween() bool {
	return j.err == nil && j.state == statusLine && len(j.partial) == 0
}

// EndsWithConnection reports whether the answer under way has a body that ends with its connection.
func (j *Judge) EndsWithConnection() bool {
	return j.state == closedBytes
}

// Judge judges the next bytes and returns how many of them may be used; the error, a *GrammarError, says why
// the others, and all that follow, may not.
func (j *Judge) Judge(p []byte) (n int, err error) {
	for j.err == nil && n < len(p) {
		var used int
		used, j.err = j.step(p[n:])
		if j.err == nil {
			n += used
		}
	}
	return n, j.err
}

// step judges a line or a part of a body and returns its size.
func (j *Judge) step(p []byte) (int, error) {
	switch j.state {
	case closedBytes:
		return len(p), nil
	case lengthBytes, chunkBytes:
		used := int(min(int64(len(p)), j.left))
		if j.left -= int64(used); j.left == 0 {
			j.endBytes()
		}
		return used, nil
	}
	end := bytes.IndexByte(p, '\n')
	used := end + 1
	if end < 0 {
		used = len(p)
	}
	if j.lineBytes += used; j.lineBytes > MaxHeadBytes {
		return 0, breach("head", p[:used], "not too long")
	}
	line := p[:used]
	if end < 0 || len(j.partial) > 0 {
		j.partial = append(j.partial, line...)
		line = j.partial
	}
	if end < 0 {
		return used, nil
	}
	line, isWhole := bytes.CutSuffix(line, []byte("\r\n"))
	if !isWhole {
		return 0, breach("line", line, "ends with CR LF")
	}
	err := j.endLine(line)
	j.partial = j.partial[:0]
	return used, err
}

// endBytes follows the last byte of a body or a chunk.
func (j *Judge) endBytes() {
	j.lineBytes = 0
	if j.state == lengthBytes {
		j.state = statusLine
		return
	}
	j.state = chunkEnd
}

// endLine judges a whole line.
func (j *Judge) endLine(line []byte) error {
	switch j.state {
	case statusLine:
		j.head, j.state = head{}, fieldLine
		return j.head.addStatusLine(line)
	case fieldLine:
		if len(line) > 0 {
			return j.head.addField(line)
		}
		return j.endHead()
	case sizeLine:
		n, err := chunkSize(line)
		if j.left, j.state = n, chunkBytes; n == 0 {
			j.state = trailerLine
		}
		return err
	case chunkEnd:
		j.state, j.lineBytes = sizeLine, 0
		if len(line) > 0 {
			return breach("chunk", line, "ends with CR LF")
		}
	case trailerLine:
		if len(line) > 0 {
			_, _, err := cutField(line)
			return err
		}
		j.state, j.lineBytes = statusLine, 0
	}
	return nil
}

// endHead follows the blank line after the fields.
func (j *Judge) endHead() error {
	body, err := j.head.end(j.method)
	if err != nil {
		return err
	}
	j.left = j.head.length
	if !j.head.isInterim() {
		j.lineBytes = 0
	}
	switch {
	case body == chunkedBody:
		j.state = sizeLine
	case body == closedBody:
		j.state = closedBytes
	case body == lengthBody && j.left > 0:
		j.state = lengthBytes
	default:
		j.state = statusLine
	}
	return nil
}
