"""The console: web forms that yield one validated document."""
