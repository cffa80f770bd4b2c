package cassiatally

// Field is one header field of a request or an answer.
type Field struct{ Name, Value string }

// Head is what a front end received of a request before its body. Decisions pass
// it on without reading it.
type Head struct {
	Method string
	// Target is the path with the query.
	Target string
	Fields []Field
}
