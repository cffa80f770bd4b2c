package settingsloader

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// ByteSize is a number of bytes.
type ByteSize int64

const (
	kibibyte ByteSize = 1 << 10
	mebibyte ByteSize = 1 << 20
	gibibyte ByteSize = 1 << 30
)

var byteUnits = []struct {
	suffix string
	size   ByteSize
}{{"GiB", gibibyte}, {"MiB", mebibyte}, {"KiB", kibibyte}, {"B", 1}}

// String returns the size in the largest unit that divides it.
func (b ByteSize) String() string {
	for _, u := range byteUnits {
		if b%u.size == 0 && b >= u.size {
			return strconv.FormatInt(int64(b/u.size), 10) + u.suffix
		}
	}
	return "0B"
}

// namePattern excludes the full stop, which separates the parts of a key: the
// name of the data centre is one of them.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

func name[T ~string]() valueFormat[T] {
	return valueFormat[T]{
		parse: func(value string) (T, string) {
			if !namePattern.MatchString(value) {
				return "", fmt.Sprintf("%q is not a name", value)
			}
			return T(value), ""
		},
		print: func(v T) string { return quote(string(v)) },
		fix:   "write up to 63 letters, digits, hyphens and underscores, such as glasgow-03",
	}
}

func listenAddress() valueFormat[cassiatally.Address] {
	return valueFormat[cassiatally.Address]{
		parse: func(value string) (cassiatally.Address, string) { return parseAddress(value, 0) },
		print: printAddress,
		fix:   "write an IP number and a port, such as 10.1.2.3:7400",
	}
}

func advertisedAddress() valueFormat[cassiatally.Address] {
	return valueFormat[cassiatally.Address]{
		parse: func(value string) (cassiatally.Address, string) { return parseAddress(value, 1) },
		print: printAddress,
		fix:   "write an IP number and a port from 1 to 65535, such as 10.1.2.3:7402",
	}
}

func parseAddress(value string, minPort uint16) (a cassiatally.Address, message string) {
	parsed, err := netip.ParseAddrPort(value)
	if err == nil && parsed.Port() >= minPort {
		return cassiatally.Address(parsed.String()), ""
	}
	host, _, found := strings.Cut(value, ":")
	if found && host != "" && strings.ContainsAny(host, "ghijklmnopqrstuvwxyzGHIJKLMNOPQRSTUVWXYZ") {
		return "", fmt.Sprintf("%q has a host name", value)
	}
	return "", fmt.Sprintf("%q is not an IP number and port", value)
}

func printAddress(a cassiatally.Address) string { return quote(string(a)) }

func isUnspecified(a cassiatally.Address) bool {
	parsed, err := netip.ParseAddrPort(string(a))
	return err == nil && parsed.Addr().IsUnspecified()
}

// hasKernelPort reports whether the port is 0, so that the kernel chooses it.
func hasKernelPort(a cassiatally.Address) bool {
	parsed, err := netip.ParseAddrPort(string(a))
	return err == nil && parsed.Port() == 0
}

func logURL() valueFormat[string] {
	const scheme = "http://"
	return valueFormat[string]{
		parse: func(value string) (string, string) {
			rest, found := strings.CutPrefix(value, scheme)
			if !found {
				return "", fmt.Sprintf("%q does not start with %s", value, scheme)
			}
			a, message := parseAddress(rest, 1)
			return scheme + string(a), message
		},
		print: quote,
		fix:   "write http:// with an IP number and a port, such as http://10.1.2.3:7500",
	}
}

func duration() valueFormat[time.Duration] {
	return valueFormat[time.Duration]{
		parse: func(value string) (time.Duration, string) {
			d, err := time.ParseDuration(value)
			if err != nil {
				return 0, fmt.Sprintf("%q is not a duration", value)
			}
			if d < minDuration || d > maxDuration {
				return 0, fmt.Sprintf("%s is out of range", value)
			}
			return d, ""
		},
		print: printDuration,
		fix:   "write a number with a unit, from 1ms to 168h, such as 250ms or 10m",
	}
}

func printDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func byteSize(low, high ByteSize) valueFormat[ByteSize] {
	return valueFormat[ByteSize]{
		parse: func(value string) (ByteSize, string) {
			b, ok := parseBytes(value)
			if !ok {
				return 0, fmt.Sprintf("%q is not a size", value)
			}
			if b < low || b > high {
				return 0, fmt.Sprintf("%s is out of range", value)
			}
			return b, ""
		},
		print: ByteSize.String,
		fix:   fmt.Sprintf("write a whole number with B, KiB, MiB or GiB, from %s to %s, such as 512KiB", low, high),
	}
}

func parseBytes(value string) (ByteSize, bool) {
	for _, u := range byteUnits {
		digits, found := strings.CutSuffix(value, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 32)
		return ByteSize(n) * u.size, err == nil && n >= 0
	}
	return 0, false
}

func count[T ~int | ~uint8](low, high int) valueFormat[T] {
	return valueFormat[T]{
		parse: func(value string) (T, string) {
			n, err := strconv.Atoi(value)
			if err != nil {
				return 0, fmt.Sprintf("%q is not a whole number", value)
			}
			if n < low || n > high {
				return 0, fmt.Sprintf("%s is out of range", value)
			}
			return T(n), ""
		},
		print: func(v T) string { return strconv.Itoa(int(v)) },
		fix:   fmt.Sprintf("write a whole number from %d to %d", low, high),
	}
}

func number(low, high float64) valueFormat[float64] {
	return valueFormat[float64]{
		parse: func(value string) (float64, string) {
			f, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return 0, fmt.Sprintf("%q is not a number", value)
			}
			inRange := f >= low && f <= high
			if !inRange {
				return 0, fmt.Sprintf("%s is out of range", value)
			}
			return f, ""
		},
		print: func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) },
		fix:   fmt.Sprintf("write a number from %g to %g", low, high),
	}
}

func oneOf[T ~string](choices ...T) valueFormat[T] {
	names := make([]string, len(choices))
	for i, c := range choices {
		names[i] = string(c)
	}
	return valueFormat[T]{
		parse: func(value string) (T, string) {
			for _, c := range choices {
				if value == string(c) {
					return c, ""
				}
			}
			return "", fmt.Sprintf("%q is not a choice", value)
		},
		print: func(v T) string { return quote(string(v)) },
		fix:   "write one of " + strings.Join(names, ", "),
	}
}

// quote returns the text in double quotes, so that YAML does not read it as a
// number or a boolean. Without quotes the control mode off is a boolean.
func quote(s string) string { return strconv.Quote(s) }
