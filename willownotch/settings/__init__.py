"""Settings files in the style of classic daemons: `word value ...`, blocks in braces, comments, units.

Input: a file's text and the typed struct that declares what it may contain. Output: that struct with its
values, or all errors at once, each as `file:line:column: what is wrong, what is allowed`. This package knows
no subsystem: each declares its own block next to its code, with the value types in `types`. The parser
(`reader`, built on lark) is loaded only when a file is read.
"""
