package site

// Draft is an operator's document as it was written: unlike a Document it may break rules, so that all its
// faults can be reported. The path of a field of a draft is of the form "Routes[1].Timeout".
type Draft struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Accounts is nil if the document has no list of accounts, and empty if it has an empty one.
	Accounts []Account
	Limits   Limits
}

// Location is a field of a document in the words of the operator. Line and Column begin at 1.
type Location struct {
	Path   string
	Line   int
	Column int
}

// Mistake is a field that cannot be decoded or that is decoded in another way than it seems.
type Mistake struct {
	Location
	Value string
	Rule  string
}

// Source is the text of a document.
type Source struct {
	// Draft is nil if fields have wrong types, since the others then cannot be judged.
	Draft    *Draft
	Mistakes []Mistake
	// Locate returns the location of a field of the draft; the line and column of a field that is not
	// written are those of what it would be part of.
	Locate func(path string) Location
}
