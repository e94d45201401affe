"""The style sheet of the HTML page."""

STYLE = """
body { font-family: sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; color: #222 }
h1 { font-size: 1.4rem } h2 { font-size: 1.2rem; margin-top: 2.5rem }
h3 { font-size: 1rem; margin-bottom: .3rem }
.verdict { padding: .5rem .8rem; margin: .3rem 0; background: #f5f5f5;
  border-left: .4rem solid #888 }
.good { border-color: #2e7d32 } .missed { border-color: #b3261e }
.incomplete { border-color: #b07a00 }
table { border-collapse: collapse; margin: .3rem 0 1rem }
th, td { text-align: left; padding: .15rem 1rem .15rem 0; border-bottom: 1px solid #ddd }
td.number { text-align: right } svg { max-width: 100%; height: auto }
.missing { border: 1px solid #b07a00; padding: .2rem 1rem; background: #fff8e6 }
.basis { color: #555; font-size: .9rem }
"""
