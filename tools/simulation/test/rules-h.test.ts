import { rules } from '@thornsail/simulation';

rules.test('split,burst'.split(','), [1, 2]);
