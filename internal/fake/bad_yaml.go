package fake

import (
	"fmt"
	"math/rand"
	"strings"
)

const badYAMLRepeats = 20_000 // of a text that is repeated: nesting, aliases, keys

// badValues are put in the place of a value. Most are of another form than any key has; %d is a number.
var badValues = []string{
	"!include hall-a.yaml", "!foo", "!foo [a]", "!foo {a: 1}", "!!seq a", "!!map a", "!!int a", "!!float a", "!!bool a", "!!null a", "!!binary a",
	"!!timestamp a", "!!set a", "!!omap a", "!!str [a]", "!!merge a", "! a", "!", "!<tag:x> a", "&a", "&a a", "*a", "*", "&a [*a]", "&a {b: *a}",
	"{<<: *a}", "{<<: [1]}", "{<<: 1}", "[", "]", "{", "}", "[]", "{}", "[[]]", "[{}]", "{a: [}]", "- a", "? a", ": a", "'", "\"", "\"\\x\"", "|", ">",
	"|\n   a\n  b", "~", "null", "true", ".nan", ".inf", "-.inf", "%d", "-%d", "1e%d", "0x%d", "0o9", "9223372036854775808", "2001-01-01",
	"\x00", "\xff", "\u2028", "\ufeff", "\t", "@a", "`a`", "%", "#", "a: b", "a: b: c", "--- a", "...",
}

// DrawBadYAML returns a good text with one to three faults: a value of another form, a line that is missing, repeated, moved
// or cut off, or a text that costs many times its length.
func DrawBadYAML(chance *rand.Rand, good string) string {
	lines := strings.Split(good, "\n")
	for range 1 + chance.Intn(3) {
		at := chance.Intn(len(lines))
		switch chance.Intn(10) {
		case 0:
			lines = append(lines[:at:at], lines[min(at+1, len(lines)-1):]...)
		case 1:
			lines = append(lines[:at+1:at+1], lines[at:]...)
		case 2:
			lines[at] = strings.Repeat(" ", chance.Intn(6)) + lines[at]
		case 3:
			lines[at] = lines[at][:chance.Intn(len(lines[at])+1)]
		case 4:
			lines[at] = withValue(lines[at], drawCostlyValue(chance))
		default:
			lines[at] = withValue(lines[at], drawBadValue(chance))
		}
	}
	return strings.Join(lines, "\n")
}

func drawBadValue(chance *rand.Rand) string {
	value := badValues[chance.Intn(len(badValues))]
	if strings.Contains(value, "%d") {
		return fmt.Sprintf(value, chance.Int63())
	}
	return value
}

// withValue returns a line with another value behind its last colon, or dash if it has none.
func withValue(line, value string) string {
	at := strings.LastIndexAny(strings.TrimRight(line, " :-"), ":-")
	if at < 0 {
		return line + " " + value
	}
	return line[:at+1] + " " + value
}

// drawCostlyValue returns a value that is nested or repeated very often.
func drawCostlyValue(chance *rand.Rand) string {
	n := 1 + chance.Intn(badYAMLRepeats)
	switch chance.Intn(7) {
	case 0:
		return strings.Repeat("[", n) + strings.Repeat("]", chance.Intn(2)*n)
	case 1:
		return strings.Repeat("{a: ", n)
	case 2:
		return "\n" + strings.Repeat("- ", n) + "a"
	case 3:
		return strings.Repeat("? ", n)
	case 4:
		return strings.Repeat("&a ", n)
	case 5:
		return strings.Repeat("!a ", n)
	}
	var aliases strings.Builder
	aliases.WriteString("\n  a0: &a0 [1, 1, 1, 1, 1, 1, 1, 1, {b: 1}]\n")
	for i := range 2 + chance.Intn(12) {
		repeated := strings.Repeat(fmt.Sprintf("*a%d, ", i), 10)
		fmt.Fprintf(&aliases, "  a%d: &a%d [%s]\n", i+1, i+1, strings.TrimSuffix(repeated, ", "))
	}
	return aliases.String()
}
