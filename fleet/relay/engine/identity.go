package engine

import (
	"fmt"
	"strings"

	"github.com/samber/lo"
)

// StreamVersion returns what the streams that the endpoint writes fit to: the version of its software, or
// a name of the incarnation alone while its version is not known.
func (e Engine) StreamVersion() string {
	if e.Unread {
		return UnreadVersion(e.Incarnation())
	}
	return e.Version
}

// unreadVersion begins the names of unknown versions.
const unreadVersion = "unread version of "

// UnreadVersion names the version of an incarnation whose entry is not known.
func UnreadVersion(i Incarnation) string {
	return fmt.Sprint(unreadVersion, i.ID, " started at ", i.Born)
}

// IsUnread reports whether a name is that of an unknown version of an incarnation.
func IsUnread(version string) bool { return strings.HasPrefix(version, unreadVersion) }

// ResolveVersion returns the version of a stream by the entries: what was the unknown version of an
// incarnation when its stream began may be known now.
func (d *Directory) ResolveVersion(version string) string {
	if !IsUnread(version) {
		return version
	}
	e, found := lo.Find(lo.Values(d.byID), func(e Engine) bool { return !e.Unread && e.Born != 0 && UnreadVersion(e.Incarnation()) == version })
	if !found {
		return version
	}
	return e.Version
}
