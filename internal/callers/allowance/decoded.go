package allowance

// What a part of a JSON text costs when it is decoded, in bytes. While a list grows, its
// old and its new array are in memory.
const (
	objectBytes  = 512
	elementBytes = 64
)

// DecodedBytes returns about how many bytes a JSON text takes when it is decoded, in
// addition to those of its strings. The text need not be valid.
func DecodedBytes(text []byte) int64 {
	cost := int64(0)
	quoted := false
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			quoted = !quoted
		case '\\':
			i++ // what is escaped ends no string
		case '{':
			if !quoted {
				cost += objectBytes
			}
		case '[', ',':
			if !quoted {
				cost += elementBytes
			}
		}
	}
	return cost
}
