package cassiatally

// Field is one header field of a request or an answer.
type Field struct{ Name, Value string }

// Head has the request line and the header fields of a request that a front end
// received. Decision packages copy it without reading it.
type Head struct {
	Method string
	// Target is the path with the query.
	Target string
	Fields []Field
}
