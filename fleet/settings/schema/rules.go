package schema

import (
	"net"
	"net/netip"
	"net/url"
	"strings"
)

// URL requires an http or https URL.
func URL(s string) string {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "an http or https URL"
	}
	return ""
}

// Address requires a host or an IP address with a port.
func Address(s string) string {
	if _, port, err := net.SplitHostPort(s); err != nil || port == "" {
		return "an address with a port, such as 127.0.0.1:8080"
	}
	return ""
}

// IPAddress requires an IPv4 address with a port.
func IPAddress(s string) string {
	if address, err := netip.ParseAddrPort(s); err != nil || !address.Addr().Is4() {
		return "an IPv4 address with a port, such as 127.0.0.1:8080"
	}
	return ""
}

// Name requires a name that is valid as an element of a path.
func Name(s string) string {
	if s == "" || strings.ContainsAny(s, "@. /\t\n") {
		return "a name without spaces, slashes, dots and @"
	}
	return ""
}

// NonEmpty requires a text that is not empty.
func NonEmpty(s string) string {
	if s == "" {
		return "some text"
	}
	return ""
}

// OneOf requires one of the choices.
func OneOf(choices ...string) Rule {
	return func(s string) string {
		for _, c := range choices {
			if s == c {
				return ""
			}
		}
		return "one of " + strings.Join(choices, ", ")
	}
}

// OrEmpty allows the empty text besides what the rule allows.
func OrEmpty(rule Rule) Rule {
	return func(s string) string {
		if s == "" {
			return ""
		}
		return rule(s)
	}
}
