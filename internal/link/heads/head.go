package heads

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// head is what the lines of an answer's head say about its body.
type head struct {
	status int
	// isOld is true for HTTP/1.0.
	isOld   bool
	lengths int
	length  int64
	chunked bool
}

// framing tells where a body ends.
type framing int

const (
	noBody framing = iota
	lengthBody
	chunkedBody
	// closedBody ends with the connection.
	closedBody
)

// Statuses out of this range are invalid (RFC 9110, 15).
const (
	minStatus = 100
	maxStatus = 599
)

// addStatusLine judges the first line, without its end.
func (h *head) addStatusLine(line []byte) error {
	const field = "status line"
	rest, isNew := bytes.CutPrefix(line, []byte("HTTP/1.1 "))
	if !isNew {
		var isOld bool
		if rest, isOld = bytes.CutPrefix(line, []byte("HTTP/1.0 ")); !isOld {
			return breach(field, line, "begins with HTTP/1.1 or HTTP/1.0 and a blank")
		}
		h.isOld = true
	}
	status := rest[:min(3, len(rest))]
	if len(status) < 3 || !isAll(status, isDigit) {
		return breach(field, line, "the status has three digits")
	}
	h.status = int(status[0]-'0')*100 + int(status[1]-'0')*10 + int(status[2]-'0')
	if h.status < minStatus || h.status > maxStatus {
		return breach(field, line, "the status is from 100 to 599")
	}
	// Some servers leave out the blank if there is no reason phrase.
	if reason := rest[3:]; len(reason) > 0 && reason[0] != ' ' {
		return breach(field, line, "a blank follows the status")
	} else if !isAll(reason, isText) {
		return breach(field, line, "the reason phrase has no control characters")
	}
	if h.status == http.StatusSwitchingProtocols {
		return breach(field, line, "no other protocol was asked for")
	}
	return nil
}

// addField judges a field line, without its end.
func (h *head) addField(line []byte) error {
	name, value, err := cutField(line)
	if err != nil {
		return err
	}
	switch {
	case len(name) == len("Content-Length") && strings.EqualFold(string(name), "Content-Length"):
		return h.addLength(value)
	case len(name) == len("Transfer-Encoding") && strings.EqualFold(string(name), "Transfer-Encoding"):
		if h.chunked || !strings.EqualFold(string(value), "chunked") {
			return breach("Transfer-Encoding", value, "chunked, and once")
		}
		h.chunked = true
	}
	return nil
}

// cutField returns the name and the value of a field line.
func cutField(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, breach("field", line, "a field is on one line")
	}
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon {
		return nil, nil, breach("field", line, "a name ends with a colon")
	}
	if len(name) == 0 || !isAll(name, isTokenByte) {
		return nil, nil, breach("field", line, "a name is a token, with no blank before the colon")
	}
	if !isAll(value, isText) {
		return nil, nil, breach(string(name), value, "a value has no control characters")
	}
	return name, bytes.Trim(value, " \t"), nil
}

// maxLength bounds a body's length.
const maxLength = 1e18

// addLength judges a Content-Length; the same one may be repeated on a line of its own.
func (h *head) addLength(value []byte) error {
	if len(value) == 0 || !isAll(value, isDigit) {
		return breach("Content-Length", value, "digits only")
	}
	var n int64
	for _, c := range value {
		if n > maxLength/10 {
			return breach("Content-Length", value, "not over 10^18")
		}
		n = n*10 + int64(c-'0')
	}
	if h.lengths++; h.lengths > 1 && n != h.length {
		return breach("Content-Length", value, "all lengths are the same")
	}
	h.length = n
	return nil
}

// end judges the fields together and returns the framing of the body in answer to a method.
func (h *head) end(method string) (framing, error) {
	switch {
	case h.chunked && h.lengths > 0:
		return noBody, breach("Content-Length", []byte(strconv.FormatInt(h.length, 10)), "not beside Transfer-Encoding")
	case h.chunked && h.isOld:
		return noBody, breach("Transfer-Encoding", []byte("chunked"), "not in HTTP/1.0")
	case h.isInterim() || h.status == http.StatusNoContent:
		if h.chunked || h.length > 0 {
			return noBody, breach("status line", []byte(strconv.Itoa(h.status)), "a status without a body has neither a length nor chunks")
		}
		return noBody, nil
	case method == http.MethodHead || h.status == http.StatusNotModified:
		return noBody, nil
	case h.chunked:
		return chunkedBody, nil
	case h.lengths > 0:
		return lengthBody, nil
	}
	return closedBody, nil
}

// isInterim reports whether another answer to the same request follows.
func (h *head) isInterim() bool {
	return h.status < http.StatusOK
}

// maxSizeDigits bounds the digits of a chunk's size, so that it fits into 60 bits.
const maxSizeDigits = 15

// chunkSize judges the line before a chunk and returns its size; some servers pad the size with blanks.
func chunkSize(line []byte) (int64, error) {
	const field = "chunk size"
	size, extension, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	if len(size) == 0 || len(size) > maxSizeDigits || !isAll(size, isHexDigit) {
		return 0, breach(field, line, "1 to 15 hexadecimal digits")
	}
	if !isAll(extension, isText) {
		return 0, breach(field, line, "an extension has no control characters")
	}
	n, err := strconv.ParseInt(string(size), 16, 64)
	if err != nil {
		return 0, breach(field, line, err.Error())
	}
	return n, nil
}

func isAll(b []byte, is func(byte) bool) bool {
	for _, c := range b {
		if !is(c) {
			return false
		}
	}
	return true
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

func isHexDigit(c byte) bool {
	return isDigit(c) || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// isText reports whether a byte may be in a value or a reason phrase; bytes over 0x7f may.
func isText(c byte) bool {
	return c == '\t' || c >= ' ' && c != 0x7f
}

// isTokenByte reports whether a byte may be in the name of a field.
func isTokenByte(c byte) bool {
	return isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
