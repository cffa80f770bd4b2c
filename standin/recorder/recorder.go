// Package recorder keeps the records of many backend servers.
//
// # Usage
//
//	c := &recorder.Client{URL: "http://127.0.0.1:7100", HTTP: http.DefaultClient}
//	err := c.Record(ctx, run)
package recorder
