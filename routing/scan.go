package routing

import "strings"

// tokenKind is the kind of a lexical element of SQL.
type tokenKind uint8

const (
	tokenWord   tokenKind = iota // key word or identifier, in lower case; quoted identifiers too, without quotes
	tokenOpen                    // opening parenthesis
	tokenEnd                     // semicolon
	tokenOther                   // literal, parameter, operator or closing parenthesis
	tokenUnsure                  // text whose meaning depends on server settings, or that does not end
)

type token struct {
	kind   tokenKind
	text   string
	quoted bool
}

// scanner splits SQL into tokens. It knows just enough of the lexical rules of PostgreSQL to skip comments, strings and
// quoted identifiers. Whatever it does not know for certain becomes tokenUnsure.
type scanner struct {
	sql string
	pos int
}

// scan returns the tokens of sql without blanks and comments.
func scan(sql string) []token {
	s := &scanner{sql: sql}
	var tokens []token
	for {
		unsure := s.skipBlanks()
		if unsure {
			return append(tokens, token{kind: tokenUnsure})
		}
		if s.pos >= len(s.sql) {
			return tokens
		}
		tokens = append(tokens, s.next())
	}
}

// skipBlanks moves past blanks and comments. It reports whether a comment does not end.
func (s *scanner) skipBlanks() (unsure bool) {
	for s.pos < len(s.sql) {
		rest := s.sql[s.pos:]
		switch {
		case strings.ContainsRune(" \t\r\n\f\v", rune(rest[0])):
			s.pos++
		case strings.HasPrefix(rest, "--"):
			s.skipLine(rest)
		case strings.HasPrefix(rest, "/*"):
			if !s.skipBlock() {
				return true
			}
		default:
			return false
		}
	}
	return false
}

func (s *scanner) skipLine(rest string) {
	end := strings.IndexAny(rest, "\r\n")
	if end < 0 {
		end = len(rest)
	}
	s.pos += end
}

// skipBlock moves past a block comment. Block comments nest.
func (s *scanner) skipBlock() bool {
	depth := 0
	for s.pos < len(s.sql) {
		rest := s.sql[s.pos:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.pos += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			s.pos += 2
		default:
			s.pos++
		}
		if depth == 0 {
			return true
		}
	}
	return false
}

func (s *scanner) next() token {
	c := s.sql[s.pos]
	switch {
	case c == '\'':
		return s.quotedString(false)
	case c == '"':
		return s.quotedIdentifier()
	case c == '$':
		return s.dollar()
	case isLetter(c):
		return s.word()
	case isDigit(c):
		return s.number()
	case c == 0 || c == '\\':
		s.pos = len(s.sql)
		return token{kind: tokenUnsure}
	}
	s.pos++
	switch c {
	case '(':
		return token{kind: tokenOpen}
	case ';':
		return token{kind: tokenEnd}
	}
	return token{kind: tokenOther}
}

// number reads a numeric constant. Servers before PostgreSQL 15 read 1for as 1 followed by FOR, later ones refuse it, so
// letters that do not belong to a number are unsure.
func (s *scanner) number() token {
	start := s.pos
	s.skipWhile(func(c byte) bool { return isDigit(c) || isLetter(c) || c == '.' })
	text := strings.ToLower(s.sql[start:s.pos])
	if strings.HasPrefix(text, "0x") && strings.Trim(text[2:], "0123456789abcdef_") == "" {
		return token{kind: tokenOther}
	}
	if mantissa, exponent, _ := strings.Cut(text, "e"); strings.Trim(mantissa+exponent, "0123456789_.") == "" {
		return token{kind: tokenOther}
	}
	return token{kind: tokenUnsure}
}

// word reads a key word or an identifier, or the string that it prefixes.
func (s *scanner) word() token {
	start := s.pos
	s.skipWhile(func(c byte) bool { return isLetter(c) || isDigit(c) || c == '$' })
	text := strings.ToLower(s.sql[start:s.pos])
	rest := s.sql[s.pos:]
	switch {
	case text == "e" && strings.HasPrefix(rest, "'"):
		return s.quotedString(true)
	case (text == "b" || text == "x" || text == "n") && strings.HasPrefix(rest, "'"):
		return s.quotedString(false)
	case text == "u" && (strings.HasPrefix(rest, "&'") || strings.HasPrefix(rest, `&"`)):
		// Unicode escapes could spell any name, and the escape character is chosen after the literal.
		s.pos = len(s.sql)
		return token{kind: tokenUnsure}
	}
	return token{kind: tokenWord, text: text}
}

// quotedString reads a string constant. A backslash in a string without escapes is unsure, because its meaning depends
// on the setting standard_conforming_strings.
func (s *scanner) quotedString(escapes bool) token {
	kind := tokenOther
	for s.pos++; s.pos < len(s.sql); s.pos++ {
		switch s.sql[s.pos] {
		case '\\':
			if !escapes {
				kind = tokenUnsure
				continue
			}
			s.pos++
		case '\'':
			if !strings.HasPrefix(s.sql[s.pos+1:], "'") {
				s.pos++
				return token{kind: kind}
			}
			s.pos++
		}
	}
	return token{kind: tokenUnsure}
}

func (s *scanner) quotedIdentifier() token {
	start := s.pos + 1
	end := strings.IndexByte(s.sql[start:], '"')
	if end < 0 {
		s.pos = len(s.sql)
		return token{kind: tokenUnsure}
	}
	s.pos = start + end + 1
	return token{kind: tokenWord, text: strings.ToLower(s.sql[start : start+end]), quoted: true}
}

// dollar reads a parameter such as $1 or a string constant in dollar quotes.
func (s *scanner) dollar() token {
	start := s.pos
	s.pos++
	if s.skipWhile(isDigit); s.pos > start+1 {
		return token{kind: tokenOther}
	}
	s.skipWhile(func(c byte) bool { return isLetter(c) || isDigit(c) })
	if !strings.HasPrefix(s.sql[s.pos:], "$") {
		return token{kind: tokenOther}
	}
	s.pos++
	tag := s.sql[start:s.pos]
	end := strings.Index(s.sql[s.pos:], tag)
	if end < 0 {
		s.pos = len(s.sql)
		return token{kind: tokenUnsure}
	}
	s.pos += end + len(tag)
	return token{kind: tokenOther}
}

func (s *scanner) skipWhile(accept func(byte) bool) {
	for s.pos < len(s.sql) && accept(s.sql[s.pos]) {
		s.pos++
	}
}

func isLetter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}
