package oddity

import (
	"fmt"
	"slices"
	"strings"
)

// Answer is an answer of a server; in its text, FIELDS stands for further fields, BODY for the body, LEN for its
// length and HEX for that in hexadecimal.
type Answer struct {
	Name string
	Text string
	// IsSound is true if the answer keeps to the grammar, or to what real servers send.
	IsSound bool
	// IsOddAfterBody is true if the answer breaks the grammar only after the last byte of its body.
	IsOddAfterBody bool
}

// With returns the text with fields, each ending with CR LF, and a body.
func (a Answer) With(fields, body string) string {
	return strings.NewReplacer("FIELDS", fields, "BODY", body, "LEN", fmt.Sprint(len(body)), "HEX", fmt.Sprintf("%x", len(body))).Replace(a.Text)
}

const (
	ok    = "HTTP/1.1 200 OK\r\n"
	sized = "FIELDS" + "Content-Length: LEN\r\n\r\nBODY"
	chunk = "FIELDS" + "Transfer-Encoding: chunked\r\n\r\nHEX\r\nBODY\r\n0\r\n\r\n"
	old   = "HTTP/1.0 200 OK\r\n"
)

// Answers returns all answers; servers close the connection after them.
func Answers() []Answer {
	var all []Answer
	for _, a := range odd {
		all = append(all, Answer{a.name, a.text, false, slices.Contains(oddAfterBody, a.name)})
	}
	for _, a := range sound {
		all = append(all, Answer{a.name, a.text, true, false})
	}
	return all
}

// Cut returns answers whose body has come, but not their end.
func Cut() []Answer {
	const chunked = ok + "FIELDS" + "Transfer-Encoding: chunked\r\n\r\nHEX\r\nBODY"
	return []Answer{
		{Name: "cut before the end of a length", Text: ok + "FIELDS" + "Content-Length: 9LEN\r\n\r\nBODY", IsOddAfterBody: true},
		{Name: "cut before the last chunk", Text: chunked + "\r\n", IsOddAfterBody: true},
		{Name: "cut inside the last chunk", Text: chunked + "\r\n0\r\n", IsOddAfterBody: true},
		{Name: "cut inside a chunk's end", Text: chunked + "\r", IsOddAfterBody: true},
	}
}

var odd = []struct{ name, text string }{
	{"status 000", "HTTP/1.1 000 OK\r\n" + sized},
	{"status 099", "HTTP/1.1 099 OK\r\n" + sized},
	{"status 600", "HTTP/1.1 600 OK\r\n" + sized},
	{"status 999", "HTTP/1.1 999 OK\r\n" + sized},
	{"status with a sign", "HTTP/1.1 +20 OK\r\n" + sized},
	{"status of two digits", "HTTP/1.1 20 OK\r\n" + sized},
	{"status of four digits", "HTTP/1.1 2000 OK\r\n" + sized},
	{"blank in the status", "HTTP/1.1 2 0 OK\r\n" + sized},
	{"two blanks before the status", "HTTP/1.1  200 OK\r\n" + sized},
	{"tab before the status", "HTTP/1.1\t200 OK\r\n" + sized},
	{"no blank after the status", "HTTP/1.1 200OK\r\n" + sized},
	{"status 101 that wasn't asked for", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + sized},
	{"status 000 before the answer", "HTTP/1.1 000 Odd\r\n\r\n" + ok + sized},
	{"interim answer with an odd field", "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\n" + ok + sized},
	{"interim answer with a length", "HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\n" + ok + sized},
	{"version 1.2", "HTTP/1.2 200 OK\r\n" + sized},
	{"version 2.0", "HTTP/2.0 200 OK\r\n" + sized},
	{"version 0.9", "HTTP/0.9 200 OK\r\n" + sized},
	{"version in lower case", "http/1.1 200 OK\r\n" + sized},
	{"blank line before the head", "\r\n" + ok + sized},
	{"blank before the head", " " + ok + sized},
	{"control byte in the reason phrase", "HTTP/1.1 200 O\x01K\r\n" + sized},
	{"NUL in the reason phrase", "HTTP/1.1 200 O\x00K\r\n" + sized},
	{"CR in the reason phrase", "HTTP/1.1 200 O\rK\r\n" + sized},
	{"blank before a colon", ok + "A : b\r\n" + sized},
	{"tab before a colon", ok + "A\t: b\r\n" + sized},
	{"blank in a name", ok + "A B: c\r\n" + sized},
	{"control byte in a name", ok + "A\x01B: c\r\n" + sized},
	{"NUL in a name", ok + "A\x00B: c\r\n" + sized},
	{"DEL in a name", ok + "A\x7fB: c\r\n" + sized},
	{"CR in a name", ok + "A\rB: c\r\n" + sized},
	{"separator in a name", ok + "A(B): c\r\n" + sized},
	{"byte over 0x7f in a name", ok + "A\xe9B: c\r\n" + sized},
	{"empty name", ok + ": c\r\n" + sized},
	{"no colon", ok + "A\r\n" + sized},
	{"first field begins with a blank", ok + " A: b\r\n" + sized},
	{"folded value", ok + "A: b\r\n c\r\n" + sized},
	{"folded value with a tab", ok + "A: b\r\n\tc\r\n" + sized},
	{"control byte in a value", ok + "A: b\x01c\r\n" + sized},
	{"NUL in a value", ok + "A: b\x00c\r\n" + sized},
	{"DEL in a value", ok + "A: b\x7fc\r\n" + sized},
	{"CR in a value", ok + "A: b\rc\r\n" + sized},
	{"CR before the line's end", ok + "A: b\r\r\n" + sized},
	{"line ends with LF alone", ok + "A: b\n" + sized},
	{"status line ends with LF alone", "HTTP/1.1 200 OK\n" + sized},
	{"head ends with LF alone", ok + "FIELDS" + "Content-Length: LEN\r\n\nBODY"},
	{"length with a blank before the colon", ok + "FIELDS" + "Content-Length : LEN\r\n\r\nBODY and more"},
	{"two lengths", ok + "Content-Length: 1\r\n" + sized},
	{"list of lengths", ok + "FIELDS" + "Content-Length: LEN, LEN\r\n\r\nBODY"},
	{"length with a sign", ok + "FIELDS" + "Content-Length: +LEN\r\n\r\nBODY"},
	{"negative length", ok + "FIELDS" + "Content-Length: -1\r\n\r\nBODY"},
	{"length with a letter", ok + "FIELDS" + "Content-Length: LENx\r\n\r\nBODY"},
	{"hexadecimal length", ok + "FIELDS" + "Content-Length: 0xHEX\r\n\r\nBODY"},
	{"empty length", ok + "FIELDS" + "Content-Length:\r\n\r\nBODY"},
	{"length over 63 bits", ok + "FIELDS" + "Content-Length: 18446744073709551617\r\n\r\nBODY"},
	{"length beside chunks", ok + "Content-Length: LEN\r\n" + chunk},
	{"other coding", ok + "FIELDS" + "Transfer-Encoding: gzip\r\n\r\nBODY"},
	{"other coding before chunks", ok + "FIELDS" + "Transfer-Encoding: gzip, chunked\r\n\r\nHEX\r\nBODY\r\n0\r\n\r\n"},
	{"chunks within chunks", ok + "FIELDS" + "Transfer-Encoding: chunked, chunked\r\n\r\nHEX\r\nBODY\r\n0\r\n\r\n"},
	{"chunks twice", ok + "Transfer-Encoding: chunked\r\n" + chunk},
	{"identity", ok + "Transfer-Encoding: identity\r\n" + sized},
	{"unknown coding", ok + "FIELDS" + "Transfer-Encoding: xchunked\r\n\r\nHEX\r\nBODY\r\n0\r\n\r\n"},
	{"chunks in HTTP/1.0", old + chunk},
	{"chunks in HTTP/1.0 beside a length", old + "Transfer-Encoding: chunked\r\n" + sized},
	{"chunk size with a prefix", ok + "FIELDS" + "Transfer-Encoding: chunked\r\n\r\n0xHEX\r\nBODY\r\n0\r\n\r\n"},
	{"chunk size with a sign", ok + "FIELDS" + "Transfer-Encoding: chunked\r\n\r\n+HEX\r\nBODY\r\n0\r\n\r\n"},
	{"empty chunk size", ok + "FIELDS" + "Transfer-Encoding: chunked\r\n\r\nHEX\r\nBODY\r\n\r\n0\r\n\r\n"},
	{"chunk size over 64 bits", ok + "FIELDS" + "Transfer-Encoding: chunked\r\n\r\n1000000000000000HEX\r\nBODY\r\n0\r\n\r\n"},
	{"chunk line ends with LF alone", ok + "FIELDS" + "Transfer-Encoding: chunked\r\n\r\nHEX\nBODY\r\n0\r\n\r\n"},
	{"chunk longer than its size", ok + "FIELDS" + "Transfer-Encoding: chunked\r\n\r\nHEX\r\nBODYx\r\n0\r\n\r\n"},
	{"control byte in a chunk extension", ok + "FIELDS" + "Transfer-Encoding: chunked\r\n\r\nHEX;a=\x01\r\nBODY\r\n0\r\n\r\n"},
	{"blank in a trailer's name", ok + "FIELDS" + "Transfer-Encoding: chunked\r\n\r\nHEX\r\nBODY\r\n0\r\nA b: c\r\n\r\n"},
	{"control byte in a trailer's value", ok + "FIELDS" + "Transfer-Encoding: chunked\r\n\r\nHEX\r\nBODY\r\n0\r\nA: b\x01\r\n\r\n"},
	{"trailer without a colon", ok + "FIELDS" + "Transfer-Encoding: chunked\r\n\r\nHEX\r\nBODY\r\n0\r\nA\r\n\r\n"},
	{"head without a blank line", ok + "FIELDS"},
	{"body alone", "BODY"},
}

var oddAfterBody = []string{
	"empty chunk size", "chunk longer than its size", "blank in a trailer's name", "control byte in a trailer's value", "trailer without a colon",
}

var sound = []struct{ name, text string }{
	{"plain", ok + sized},
	{"chunks", ok + chunk},
	{"body that ends with the connection", ok + "FIELDS\r\nBODY"},
	{"HTTP/1.0", old + sized},
	{"empty reason phrase", "HTTP/1.1 200 \r\n" + sized},
	{"neither a reason phrase nor a blank", "HTTP/1.1 200\r\n" + sized},
	{"bytes over 0x7f in the reason phrase", "HTTP/1.1 200 d\xe9j\xe0\r\n" + sized},
	{"interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + ok + sized},
	{"all separators of names", ok + "!#$%&'*+-.^_`|~9: b\r\n" + sized},
	{"empty value", ok + "A:\r\n" + sized},
	{"value with tabs and blanks around it", ok + "A: \t b\tc \t\r\n" + sized},
	{"bytes over 0x7f in a value", ok + "A: \xe9\r\n" + sized},
	{"colons and quotes in a value", ok + "A: \"b:c\", d\r\n" + sized},
	{"the same length twice", ok + "Content-Length: LEN\r\n" + sized},
	{"length with zeros before it", ok + "FIELDS" + "Content-Length: 000LEN\r\n\r\nBODY"},
	{"names in lower case", ok + "FIELDS" + "content-length: LEN\r\n\r\nBODY"},
	{"coding in capitals", ok + "FIELDS" + "Transfer-Encoding: CHUNKED\r\n\r\nHEX\r\nBODY\r\n0\r\n\r\n"},
	{"chunk extensions", ok + "FIELDS" + "Transfer-Encoding: chunked\r\n\r\nHEX;a=b;c\r\nBODY\r\n0;d\r\n\r\n"},
	{"blanks after a chunk size", ok + "FIELDS" + "Transfer-Encoding: chunked\r\n\r\nHEX  \r\nBODY\r\n0\r\n\r\n"},
	{"chunk size with zeros before it", ok + "FIELDS" + "Transfer-Encoding: chunked\r\n\r\n000HEX\r\nBODY\r\n000\r\n\r\n"},
	{"trailers", ok + "FIELDS" + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\nHEX\r\nBODY\r\n0\r\nA: b\r\n\r\n"},
}
