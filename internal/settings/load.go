package settings

// subject names settings in reports of problems.
const subject = "settings"
