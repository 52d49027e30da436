package storeview

// mostNames bounds the interned names, since invalid entries may carry arbitrary ones.
const mostNames = 4096

// names interns the names of services and zones, of which each decoded entry would otherwise hold
// its own copy.
type names map[string]string

// one returns the interned copy of a name.
func (n names) one(name string) string {
	kept, isKept := n[name]
	if !isKept {
		if len(n) >= mostNames {
			return name
		}
		n[name] = name
		return name
	}
	return kept
}
