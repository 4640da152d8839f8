"""The endpoint list: notification deadlines, watches, and polling."""
