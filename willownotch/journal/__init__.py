"""Journal records and the state that they describe.

Input: records, or bytes that hold them. Output: one entry for each message that has no final outcome yet or
whose notice is unanswered. `net/journal.py` owns the file; nothing here reads a clock or opens anything.
"""
