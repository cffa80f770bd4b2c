// Package answerscanner finds malformed field lines in HTTP/1.1 answers, of the final
// answer, of interim answers before it, and of trailers. net/http accepts names that hold a
// space, joins a line that begins with white space to the one before it, and ends a head at
// a bare line feed. A length or a framing that is stated on such a line is ignored, and the
// caller gets another body than the sender meant; other lines are passed on.
//
// What is well-formed is stated in RFC 9112, sections 5 and 7.1. Folded lines are malformed
// here, and lines may end with a bare line feed if all of them do.
//
// # Usage
//
//	var s answerscanner.Scanner
//	s.Reset()                  // the next byte is the first one of an answer
//	n, err := s.Scan(received) // for all bytes, as they arrive; on an error, drop those after n
package answerscanner

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for an answer with a malformed field line.
var ErrMalformed = errors.New("the answer has a malformed field line")

// part is the part of an answer to which the next byte belongs.
type part uint8

const (
	// partUnchecked is a body without chunks, and all that follows an answer.
	partUnchecked part = iota
	partProtocol
	partStatus
	partReason
	partLineStart
	partName
	partValue
	// partEmptyLine is an empty line of which the carriage return has arrived.
	partEmptyLine
	partChunkSize
	partChunkExtension
	partChunkData
	partMalformed
)

const (
	protocolWithChunks = "HTTP/1.1"
	framingName        = "transfer-encoding"
	interimClass       = '1'
	switchingProtocols = "101"
	// chunkEnd is the number of bytes after the data of a chunk: a line break.
	chunkEnd = 2
	// maxChunkBytes bounds the size of a chunk. A larger one cannot be read by net/http.
	maxChunkBytes = 1 << 60
)

// Scanner checks the field lines of one answer at a time. The zero value checks nothing
// until Reset is called.
type Scanner struct {
	part part
	// last is the byte before the next one. Line feeds end the lines of the answer if
	// bareLines is set, and pairs of carriage return and line feed otherwise.
	last      byte
	bareLines bool
	// token has the first bytes of the protocol or the status that is being read.
	token    [len(protocolWithChunks)]byte
	tokenLen int
	// chunksKnown is set when the answer's protocol has chunks, and chunked when the
	// answer is sent in chunks. The answer is an interim one if interim is set.
	chunksKnown, chunked, interim bool
	// matched is the number of bytes in which the name that is being read agrees with
	// framingName, or -1.
	matched int
	// chunkLeft is the number of bytes of the chunk that are still to come, with those of
	// chunkEnd. trailers is set after the last chunk.
	chunkLeft int64
	trailers  bool
}

// Reset makes the next byte the first one of an answer.
func (s *Scanner) Reset() { *s = Scanner{part: partProtocol} }

// Scan checks the next bytes of the answer, of which none may be left out. On ErrMalformed
// it returns the number of bytes before the malformed part of them.
func (s *Scanner) Scan(b []byte) (int, error) {
	for i := 0; i < len(b); {
		if s.part == partUnchecked {
			return len(b), nil
		}
		n := s.skip(b[i:])
		if n == 0 {
			s.next(b[i])
			n = 1
		}
		if err := s.Err(); err != nil {
			return i, err
		}
		i += n
		s.last = b[i-1]
	}
	return len(b), nil
}

// Err returns ErrMalformed once a malformed field line was found, until the next Reset.
// What reads a connection must check it before it waits for more bytes: a parser may not
// have noticed the error of an earlier read.
func (s *Scanner) Err() error {
	if s.part == partMalformed {
		return ErrMalformed
	}
	return nil
}

// skip returns the number of leading bytes that need no check, which may be 0.
func (s *Scanner) skip(b []byte) int {
	switch s.part {
	case partReason, partValue, partChunkExtension:
		if n := bytes.IndexByte(b, '\n'); n >= 0 {
			return n
		}
		return len(b)
	case partChunkData:
		n := min(s.chunkLeft, int64(len(b)))
		if s.chunkLeft -= n; s.chunkLeft == 0 {
			s.part = partChunkSize
		}
		return int(n)
	default:
		return 0
	}
}

// next checks one byte.
func (s *Scanner) next(c byte) {
	switch s.part {
	case partProtocol, partStatus, partReason:
		s.nextOfStatusLine(c)
	case partLineStart:
		s.beginLine(c)
	case partName:
		s.nextOfName(c)
	case partValue:
		s.endValue()
	case partEmptyLine:
		s.endHead(c == '\n')
	case partChunkSize, partChunkExtension:
		s.nextOfChunkSize(c)
	default:
		s.part = partMalformed
	}
}

// nextOfStatusLine reads the protocol and the status, which net/http checks.
func (s *Scanner) nextOfStatusLine(c byte) {
	switch {
	case c == '\n':
		s.endStatus()
		s.bareLines = s.last != '\r'
		s.part = partLineStart
	case c != ' ' && c != '\r':
		if s.tokenLen < len(s.token) {
			s.token[s.tokenLen] = c
			s.tokenLen++
		}
	case s.part == partProtocol:
		s.chunksKnown = s.tokenIs(protocolWithChunks)
		s.part, s.tokenLen = partStatus, 0
	case s.tokenLen > 0: // several spaces may precede the status
		s.endStatus()
		s.part = partReason
	}
}

// endStatus evaluates the status when its end has arrived.
func (s *Scanner) endStatus() {
	if s.part == partStatus {
		s.interim = s.token[0] == interimClass && !s.tokenIs(switchingProtocols)
	}
}

func (s *Scanner) tokenIs(text string) bool { return string(s.token[:s.tokenLen]) == text }

// beginLine reads the first byte of a field line, or of the empty line after them.
func (s *Scanner) beginLine(c byte) {
	switch {
	case c == '\r' && !s.bareLines:
		s.part = partEmptyLine
	case c == '\n':
		s.endHead(s.bareLines)
	case httpguts.IsTokenRune(rune(c)):
		s.part, s.matched = partName, 0
		s.nextOfName(c)
	default:
		s.part = partMalformed
	}
}

func (s *Scanner) nextOfName(c byte) {
	switch {
	case c == ':':
		s.chunked = s.chunked || s.matched == len(framingName) && !s.trailers
		s.part = partValue
	case !httpguts.IsTokenRune(rune(c)):
		s.part = partMalformed
	case s.matched >= 0 && s.matched < len(framingName) && lower(c) == framingName[s.matched]:
		s.matched++
	default:
		s.matched = -1
	}
}

// endValue ends a field line at its line feed.
func (s *Scanner) endValue() {
	s.part = partLineStart
	if s.bareLines != (s.last != '\r') {
		s.part = partMalformed
	}
}

// endHead ends the head of an answer or its trailers, if the empty line is well-formed.
func (s *Scanner) endHead(wellFormed bool) {
	switch {
	case !wellFormed:
		s.part = partMalformed
	case s.interim:
		s.Reset()
	case s.chunked && s.chunksKnown && !s.trailers:
		s.part, s.chunkLeft = partChunkSize, 0
	default:
		s.part = partUnchecked
	}
}

// nextOfChunkSize reads the line before the data of a chunk. The size of the chunk is
// collected in chunkLeft. net/http refuses a malformed one.
func (s *Scanner) nextOfChunkSize(c byte) {
	digit, isDigit := hexDigit(c)
	switch {
	case c == '\n' && s.chunkLeft == 0:
		s.part, s.trailers = partLineStart, true
	case c == '\n':
		s.part = partChunkData
		s.chunkLeft += chunkEnd
	case s.part == partChunkExtension:
	case isDigit && s.chunkLeft < maxChunkBytes>>4:
		s.chunkLeft = s.chunkLeft<<4 + digit
	case c == ';' || c == ' ' || c == '\t' || c == '\r':
		s.part = partChunkExtension
	default:
		s.part = partUnchecked
	}
}

func hexDigit(c byte) (value int64, ok bool) {
	switch c = lower(c); {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10, true
	default:
		return 0, false
	}
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}
