/** The declared subset as a table for people, made from the schema itself. */
import { SchemaAST } from 'effect';

import { type Kind, KINDS } from './subset.js';

export interface Row {
  /** `spec.template.spec.containers[].image` */
  readonly field: string;
  readonly required: boolean;
  /** What it becomes. */
  readonly says: string;
}

const describedAs = (ast: SchemaAST.AST): string | null => {
  const own = SchemaAST.getDescriptionAnnotation(ast);
  if (own._tag === 'Some') return own.value;
  if (SchemaAST.isRefinement(ast)) return describedAs(ast.from);
  // An optional field is a union with undefined.
  if (SchemaAST.isUnion(ast))
    for (const t of ast.types) {
      const d = describedAs(t);
      if (d !== null) return d;
    }
  return null;
};

const plain = (ast: SchemaAST.AST): SchemaAST.AST => {
  if (SchemaAST.isRefinement(ast)) return plain(ast.from);
  if (SchemaAST.isUnion(ast)) {
    const rest = ast.types.filter((t) => !SchemaAST.isUndefinedKeyword(t));
    return rest.length === 1 ? plain(rest[0]!) : ast;
  }
  return ast;
};

const walk = (ast: SchemaAST.AST, path: string, required: boolean, rows: Row[]): void => {
  const says = describedAs(ast);
  const inner = plain(ast);
  if (says !== null) rows.push({ field: path, required, says });
  if (SchemaAST.isTypeLiteral(inner))
    for (const p of inner.propertySignatures) {
      const name = String(p.name);
      const step = /^[A-Za-z0-9]+$/.test(name)
        ? path === ''
          ? name
          : `${path}.${name}`
        : `${path}[${name}]`;
      walk(p.type, step, required && !p.isOptional, rows);
    }
  if (SchemaAST.isTupleType(inner))
    for (const t of [...inner.elements, ...inner.rest]) walk(t.type, `${path}[]`, required, rows);
};

export const rowsOf = (kind: Kind): Row[] => {
  const rows: Row[] = [];
  walk(KINDS[kind].ast, '', true, rows);
  return rows;
};

/** As Markdown, for the documents. */
export const markdownOf = (kind: Kind): string =>
  [
    `| field of a ${kind} | required | what it becomes |`,
    '| --- | --- | --- |',
    ...rowsOf(kind).map((r) => `| \`${r.field}\` | ${r.required ? 'yes' : ''} | ${r.says} |`),
  ].join('\n');
