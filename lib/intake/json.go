package intake

// Memory of decoded JSON besides its text.
const (
	elementBytes = 1 << 10 // of an element of a list, with what is made of it: a slice that grows, an item, its record
	memberBytes  = 128     // of a member of an object
	maxDepth     = 10_000  // of nested values; a decoder refuses more
)

// JSONCost returns an upper estimate of the memory that decoding a document needs. It counts
// the values of lists and objects without checking the syntax: a decoder that stops at the
// first error needs less.
func JSONCost(data []byte) int64 {
	cost := int64(len(data))
	var depth []byte // opening brackets
	for i := 0; i < len(data); i++ {
		switch c := data[i]; c {
		case '"':
			for i++; i < len(data) && data[i] != '"'; i++ {
				if data[i] == '\\' {
					i++
				}
			}
		case '{', '[':
			if len(depth) == maxDepth {
				return cost
			}
			depth = append(depth, c)
			cost += valueCost(c)
		case '}', ']':
			if len(depth) > 0 {
				depth = depth[:len(depth)-1]
			}
		case ',':
			if len(depth) > 0 {
				cost += valueCost(depth[len(depth)-1])
			}
		}
	}
	return cost
}

func valueCost(bracket byte) int64 {
	if bracket == '[' {
		return elementBytes
	}
	return memberBytes
}
