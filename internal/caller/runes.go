package caller

import "unicode/utf8"

// runeHolder keeps an incomplete character at the end of a part back until the
// next part brings the rest, so that each part sent is whole text.
type runeHolder struct {
	held []byte
}

// next returns what is held and text, up to the last whole character.
func (h *runeHolder) next(text []byte) []byte {
	whole := h.last(text)
	cut := len(whole) - incompleteTail(whole)
	h.held = append(h.held, whole[cut:]...)
	return whole[:cut]
}

// last returns what is held and text, all of it.
func (h *runeHolder) last(text []byte) []byte {
	if len(h.held) == 0 {
		return text
	}
	whole := append(h.held, text...)
	h.held = nil
	return whole
}

// incompleteTail counts the bytes at the end that begin a character which is
// not yet whole. It is 0 where the end is no valid beginning either.
func incompleteTail(text []byte) int {
	for tail := 1; tail < utf8.UTFMax && tail <= len(text); tail++ {
		lead := text[len(text)-tail]
		if !utf8.RuneStart(lead) {
			continue
		}
		if utf8.FullRune(text[len(text)-tail:]) {
			return 0
		}
		return tail
	}
	return 0
}
